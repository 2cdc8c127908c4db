package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;

/** Replays loads above the quota of an organisation; {@link SimulatedCell} measures what the workers run at each start. */
public class OrganisationQuotaTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity TASK = new Capacity(4_000, 4_000, 0);
    private static final Capacity QUOTA = TASK.times(10);
    private static final Capacity MUCH = TASK.times(1_000);

    private SimulatedCell cell;
    private List<String> addresses;

    @BeforeMethod
    public void startEightWorkers() {
        start(new SimulatedCell(7).withAdvice());
    }

    private void start(SimulatedCell started) {
        cell = started;
        addresses = cell.addresses(8);
        addresses.forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.organisationOf = spec -> spec.getId().split("-")[0];
        cell.putQuota("busy", QUOTA);
        cell.putQuota("other", MUCH);
        cell.run(300);
    }

    private void submit(String prefix, int jobs, int tasks, boolean gang) {
        IntStream.range(0, jobs).forEach(number -> cell.submit(cell.job(prefix + "-" + number, tasks, TASK, gang)));
    }

    private long completed(String prefix) {
        return cell.table.jobs().stream()
                .filter(job -> job.id().startsWith(prefix) && job.phase() == JobPhase.COMPLETED)
                .count();
    }

    private void assertNoViolations() {
        assertEquals(cell.violations, List.of());
    }

    private void assertQuotaUsed() {
        assertEquals(cell.used("busy"), QUOTA);
    }

    /** Returns the time until jobs of another organisation are done that come after a backlog, in milliseconds. */
    private long millisUntilOthersComplete(int backlogJobs, Capacity quota) {
        startEightWorkers();
        cell.putQuota("busy", quota);
        submit("busy", backlogJobs, 6, false);
        cell.run(1_000);
        long sinceMillis = cell.nowMillis();
        submit("other", 8, 4, false);
        while (completed("other") < 8 && cell.nowMillis() < sinceMillis + 60_000) {
            cell.run(5);
        }
        assertNoViolations();
        return cell.nowMillis() - sinceMillis;
    }

    /** The baseline is the same backlog without a limit: it was submitted earlier, so it comes first. */
    @Test
    public void backlogAboveQuotaDoesNotHoldUpOthers() {
        long withoutBacklogMillis = millisUntilOthersComplete(0, QUOTA);
        long besideBacklogMillis = millisUntilOthersComplete(200, QUOTA);
        long baselineMillis = millisUntilOthersComplete(200, MUCH);
        String figures = besideBacklogMillis + " ms beside a backlog, " + withoutBacklogMillis + " ms without, "
                + baselineMillis + " ms beside a backlog without a limit";
        assertTrue(besideBacklogMillis <= withoutBacklogMillis + 250, figures);
        assertTrue(baselineMillis > besideBacklogMillis + 250, figures);
    }

    @Test
    public void usesQuotaUpToLastTask() {
        submit("busy", 5, 6, false);
        cell.run(600);
        assertQuotaUsed();
        cell.run(10_000);
        assertEquals(completed("busy"), 5);
        assertNoViolations();
    }

    @Test
    public void nothingStartsWhileQuotaIsFarBelowWhatRuns() {
        cell.workMillis(6_000);
        submit("busy", 3, 6, false);
        cell.run(600);
        cell.putQuota("busy", TASK.times(3));
        long starts = cell.starts.values().stream().mapToInt(Integer::intValue).sum();
        cell.run(2_000);
        assertEquals(cell.starts.values().stream().mapToInt(Integer::intValue).sum(), starts);
        cell.run(60_000);
        assertEquals(completed("busy"), 3);
        assertNoViolations();
    }

    /** Guards against starts that were placed under a higher quota and are sent again, by any leader, after it was lowered. */
    @Test(dataProvider = "leaderChanges")
    public void startIsNotRepeatedOnceQuotaIsLowered(boolean leaderChanges) {
        start(new SimulatedCell(7));
        cell.workMillis(4_000);
        cell.disconnectedAddresses.addAll(addresses.subList(1, 8));
        submit("busy", 2, 5, false);
        cell.run(200);
        cell.putQuota("busy", TASK);
        if (leaderChanges) {
            cell.changeLeader();
        }
        cell.disconnectedAddresses.clear();
        cell.run(60_000);
        assertEquals(completed("busy"), 2);
        assertNoViolations();
    }

    @DataProvider
    public Object[][] leaderChanges() {
        return new Object[][] {{false}, {true}};
    }

    @Test
    public void gangStartsOnceAllItsTasksFitQuota() {
        submit("busy", 6, 3, false);
        submit("busy-gang", 2, 8, true);
        cell.run(15_000);
        assertEquals(completed("busy"), 8);
        assertNoViolations();
    }

    @Test
    public void gangWiderThanLoweredQuotaReservesNothingAndIsReported() {
        List<DispatchStatus> samples = new ArrayList<>();
        cell.dispatcher.setStatusListener(samples::add);
        cell.putQuota("busy", TASK.times(7));
        submit("busy-gang", 1, 8, true);
        cell.run(5_000);
        DispatchStatus last = samples.get(samples.size() - 1);
        assertEquals(last.waitingSteps(), Map.of(WaitReason.NO_QUOTA, 1L));
        assertEquals(last.idle().jobs(), Map.of(IdleReason.NO_QUOTA, 1L));
        assertEquals(last.idle().reservedShare(), 0.0);
        assertEquals(cell.adviceCalls, 0);
        cell.putQuota("busy", QUOTA);
        cell.run(5_000);
        assertEquals(completed("busy-gang"), 1);
        assertNoViolations();
    }

    @Test
    public void newLeaderCountsWhatRuns() {
        submit("busy", 20, 6, false);
        for (int leader = 0; leader < 10; leader++) {
            cell.run(333);
            cell.changeLeader();
        }
        cell.run(20_000);
        assertEquals(completed("busy"), 20);
        assertNoViolations();
    }

    @Test
    public void unansweredStartsAndStopsUnderWayCount() {
        addresses.subList(0, 3).forEach(address -> cell.lateStartMillis.put(address, 4_000L));
        cell.lostStopResponses.addAll(addresses.subList(3, 5));
        submit("busy", 12, 6, false);
        cell.run(600);
        cell.cancel("busy-0");
        cell.cancel("busy-1");
        cell.run(8_000);
        cell.lateStartMillis.clear();
        cell.lostStopResponses.clear();
        cell.run(40_000);
        assertEquals(completed("busy"), 10);
        assertNoViolations();
    }

    @Test
    public void runsOnSilentWorkersCountUntilTheirLeasesExpire() {
        cell.workMillis(20_000);
        submit("busy", 2, 6, false);
        cell.run(600);
        cell.disconnectedAddresses.addAll(addresses.subList(0, 6));
        cell.run(SimulatedCell.LEASE_MILLIS + 4_000);
        cell.disconnectedAddresses.clear();
        cell.run(90_000);
        assertEquals(completed("busy"), 2);
        assertNoViolations();
    }
}
