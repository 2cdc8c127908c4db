package org.wasabimount.core.cell;

import static org.quicktheories.QuickTheory.qt;

import org.testng.annotations.Test;
import org.wasabimount.core.FuzzSteps;
import org.wasabimount.protocol.cell.TaskPhase;

/** Checks leases, ownership, capacity and quota against what workers really run, under faults chosen by the seed. */
public class CellFuzzTest {

    private static final long SEED = Long.getLong("fuzz.seed", 20261203L);
    private static final int EXAMPLES = Integer.getInteger("fuzz.examples", 500);
    private static final int STEPS = Integer.getInteger("fuzz.steps", 1_000);
    private static final int WORKERS = 4;

    private enum Action implements FuzzSteps.Weighted {
        ADVANCE(60),
        RUN_LEADER_ROUND(40),
        HEARTBEAT(80),
        DELIVER_HEARTBEAT(80),
        DELIVER_HEARTBEAT_KEEPING_COPY(10),
        DELIVER_RESPONSES(80),
        DECLARE(12),
        DELETE(4),
        SUCCEED(15),
        FAIL(6),
        LOSE_MESSAGES(6),
        SUSPEND_WORKER(2),
        RESUME_WORKER(6),
        RESTART_WORKER(2),
        CHANGE_LEADER(3),
        ADVANCE_PAST_LEASE(1);

        private final int weight;

        Action(int weight) {
            this.weight = weight;
        }

        @Override
        public int weight() {
            return weight;
        }
    }

    @Test
    public void workersNeverExceedCapacityNorRunATaskTwice() {
        qt().withFixedSeed(SEED)
                .withExamples(EXAMPLES)
                .withShrinkCycles(EXAMPLES)
                .forAll(FuzzSteps.of(Action.class, STEPS))
                .checkAssert(steps -> {
                    FakeCell cell = new FakeCell(WORKERS);
                    steps.forEach(step -> perform(cell, step));
                    cell.settleAndCheck();
                });
    }

    private static void perform(FakeCell cell, FuzzSteps.Step<Action> step) {
        int worker = step.first();
        switch (step.action()) {
            case ADVANCE -> cell.advance(step.first() % 120);
            case RUN_LEADER_ROUND -> cell.runLeaderRound();
            case HEARTBEAT -> cell.heartbeat(worker);
            case DELIVER_HEARTBEAT -> cell.deliverHeartbeat(worker, step.second(), false);
            case DELIVER_HEARTBEAT_KEEPING_COPY -> cell.deliverHeartbeat(worker, step.second(), true);
            case DELIVER_RESPONSES -> cell.deliverResponses(worker);
            case DECLARE -> cell.declare(step.first(), step.second(), step.second() / 7);
            case DELETE -> cell.delete(step.first());
            case SUCCEED -> cell.endTask(worker, TaskPhase.SUCCEEDED);
            case FAIL -> cell.endTask(worker, TaskPhase.FAILED);
            case LOSE_MESSAGES -> cell.loseMessages(worker);
            case SUSPEND_WORKER -> cell.setSuspended(worker, true);
            case RESUME_WORKER -> cell.setSuspended(worker, false);
            case RESTART_WORKER -> cell.restartWorker(worker);
            case CHANGE_LEADER -> cell.changeLeader();
            case ADVANCE_PAST_LEASE -> cell.advance(3_000);
            default -> throw new IllegalStateException("unknown action " + step.action());
        }
    }
}
