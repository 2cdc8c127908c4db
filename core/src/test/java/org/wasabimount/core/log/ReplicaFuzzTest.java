package org.wasabimount.core.log;

import static org.quicktheories.QuickTheory.qt;

import org.testng.annotations.Test;
import org.wasabimount.core.FuzzSteps;

/** Checks replicas against an {@link Oracle} under random faults; the seed determines the sequence of faults. */
public class ReplicaFuzzTest {

    private static final long SEED = Long.getLong("fuzz.seed", 20261203L);
    private static final int EXAMPLES = Integer.getInteger("fuzz.examples", 300);
    private static final int STEPS = Integer.getInteger("fuzz.steps", 2_000);

    private enum Fault implements FuzzSteps.Weighted {
        RUN(400),
        DELIVER_ONE(20),
        DELIVER_TWICE(10),
        DROP(4),
        PROPOSE(10),
        PROPOSE_AT_LEADER(60),
        CRASH(2),
        CRASH_LEADER(3),
        CRASH_BEFORE_SYNC(2),
        CRASH_AFTER_SYNC(3),
        RESTART(10),
        PAUSE_LEADER(3),
        RESUME(5),
        ISOLATE(2),
        ISOLATE_LEADER(5),
        CUT(12),
        END_FAULTS(12),
        COMPACT(6),
        LOSE_DISK(4),
        ADMIT(15),
        DEMOTE(6),
        TRANSFER(2);

        private final int weight;

        Fault(int weight) {
            this.weight = weight;
        }

        @Override
        public int weight() {
            return weight;
        }
    }

    @Test
    public void threeReplicasKeepOneLogUnderFaults() {
        checkLogConsistency(3, SEED);
    }

    @Test
    public void fiveReplicasKeepOneLogUnderFaults() {
        checkLogConsistency(5, SEED + 1);
    }

    private static void checkLogConsistency(int voters, long seed) {
        qt().withFixedSeed(seed)
                .withExamples(EXAMPLES)
                .withShrinkCycles(EXAMPLES)
                .forAll(FuzzSteps.of(Fault.class, STEPS))
                .checkAssert(steps -> {
                    FakeCluster cluster = new FakeCluster(voters);
                    cluster.settle();
                    steps.forEach(step -> perform(cluster, step));
                    cluster.endFaultsAndCheck();
                });
    }

    private static void perform(FakeCluster cluster, FuzzSteps.Step<Fault> step) {
        int leader = cluster.leaderOr(step.first());
        switch (step.action()) {
            case RUN -> cluster.run(10 + step.first() % 50, step.second(), 5 + step.second() % 60);
            case DELIVER_ONE -> cluster.deliver(step.first(), false, FakeNode.CrashPoint.NONE);
            case DELIVER_TWICE -> cluster.deliver(step.first(), true, FakeNode.CrashPoint.NONE);
            case DROP -> cluster.drop(step.first());
            case PROPOSE -> cluster.propose(step.first(), FakeNode.CrashPoint.NONE);
            case PROPOSE_AT_LEADER -> cluster.propose(leader, FakeNode.CrashPoint.NONE);
            case CRASH -> cluster.crash(step.first());
            case CRASH_LEADER -> cluster.crash(leader);
            case CRASH_BEFORE_SYNC -> cluster.propose(leader, FakeNode.CrashPoint.BEFORE_SYNC);
            case CRASH_AFTER_SYNC -> cluster.deliver(step.first(), false, FakeNode.CrashPoint.AFTER_SYNC);
            case RESTART -> cluster.restart(step.first());
            case PAUSE_LEADER -> cluster.pause(leader, true);
            case RESUME -> cluster.pause(step.first(), false);
            case ISOLATE -> cluster.isolate(step.first(), step.second() % 2 == 0, step.second() % 3 != 0);
            case ISOLATE_LEADER -> cluster.isolate(leader, step.second() % 2 == 0, step.second() % 3 != 0);
            case CUT -> cluster.cut(step.first(), step.second());
            case END_FAULTS -> cluster.endFaults();
            case COMPACT -> cluster.compact(step.first());
            case LOSE_DISK -> cluster.loseDisk(step.first());
            case ADMIT -> cluster.admit(step.first());
            case DEMOTE -> cluster.demote(step.first());
            case TRANSFER -> cluster.transfer();
            default -> throw new IllegalStateException("unknown fault " + step.action());
        }
    }
}
