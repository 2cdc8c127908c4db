package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

/** Tests the transfer of leadership in virtual time. */
public class LeadershipTransferTest {

    private static final int VOTERS = 3;
    private static final int STEP_MILLIS = 20;

    /** The time that a node which is about to stop tries to transfer leadership, in steps. */
    private static final int DRAIN_STEPS = 75;

    /** Guards against a transfer that needs a moment in which no entry is in flight, which never comes under load. */
    @Test
    public void leadershipIsTransferredWhileEntriesAreInFlight() {
        FakeCluster cluster = new FakeCluster(VOTERS);
        cluster.settle();
        int leader = cluster.leaderOr(0);
        for (int step = 0; step < DRAIN_STEPS && cluster.leaderOr(leader) == leader; step++) {
            cluster.propose(leader, FakeNode.CrashPoint.NONE);
            cluster.transfer();
            cluster.run(STEP_MILLIS, 1, Integer.MAX_VALUE);
        }
        assertNotEquals(cluster.leaderOr(leader), leader);
        cluster.endFaultsAndCheck();
    }

    /** Guards against a transfer to a voter that has just crashed, after which there is no leader for two timeouts. */
    @Test
    public void leadershipIsTransferredToVoterThatResponds() {
        for (int crashedFromLeader = 1; crashedFromLeader < VOTERS; crashedFromLeader++) {
            FakeCluster cluster = new FakeCluster(VOTERS);
            cluster.settle();
            int leader = cluster.leaderOr(0);
            int crashed = (leader + crashedFromLeader) % VOTERS;
            cluster.crash(crashed);
            runFor(cluster, 10);
            cluster.transfer();
            runFor(cluster, 5);
            assertEquals(cluster.leaderOr(leader), VOTERS - leader - crashed, "crashed " + crashed);
            cluster.endFaultsAndCheck();
        }
    }

    private static void runFor(FakeCluster cluster, int steps) {
        for (int step = 0; step < steps; step++) {
            cluster.run(STEP_MILLIS, 1, Integer.MAX_VALUE);
        }
    }
}
