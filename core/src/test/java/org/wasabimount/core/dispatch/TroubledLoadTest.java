package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.BACKLOG;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.CUT;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.LATE;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.LEADER;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.LONG_CUT;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.LOSSES;
import static org.wasabimount.core.dispatch.TroubledLoad.Trouble.SLOW;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no job stays without a run beside room for it twice during and after troubles, with the load of a deployment.
 *
 * <p>The main method of {@link TroubledLoad} plays other seeds and mixes.
 */
public class TroubledLoadTest {

    private static final int WORKERS = 100;
    private static final int CALLERS = 32;

    private static void assertNothingStalls(
            long seed, DeploymentLoad.Deployment deployment, Set<TroubledLoad.Trouble> of) {
        TroubledLoad trial = new TroubledLoad(seed, deployment, WORKERS, CALLERS, of);
        trial.play();
        assertEquals(trial.load.cell.violations, List.of());
        assertEquals(trial.stalled.stalled.toString(), "{}");
    }

    @DataProvider
    public Object[][] mixes() {
        return new Object[][] {
            {6, DeploymentLoad.Deployment.PANEL_VARIED, EnumSet.of(BACKLOG, CUT, LOSSES, LEADER)},
        };
    }

    @DataProvider
    public Object[][] mixesWithStalls() {
        return new Object[][] {
            {2, DeploymentLoad.Deployment.LARGE, EnumSet.of(SLOW, LEADER)},
            {4, DeploymentLoad.Deployment.PANEL_VARIED, EnumSet.of(SLOW, LEADER)},
            {3, DeploymentLoad.Deployment.PANEL_VARIED, EnumSet.of(BACKLOG, SLOW, LONG_CUT, LEADER, LATE)},
            {8, DeploymentLoad.Deployment.LARGE, EnumSet.of(SLOW, CUT, LOSSES, LEADER, LATE)},
        };
    }

    /** Guards against jobs that wait beside idle workers after workers were lost or slow and the leader has changed. */
    @Test(dataProvider = "mixes")
    public void noJobStallsBesideIdleWorkers(
            long seed, DeploymentLoad.Deployment deployment, Set<TroubledLoad.Trouble> troubles) {
        assertNothingStalls(seed, deployment, troubles);
    }

    /** Guards against gangs that stall while workers are cut off, lost or slow and the leader changes. */
    @Test(dataProvider = "mixesWithStalls")
    public void noGangStallsBesideIdleWorkers(
            long seed, DeploymentLoad.Deployment deployment, Set<TroubledLoad.Trouble> troubles) {
        assertNothingStalls(seed, deployment, troubles);
    }
}
