package org.wasabimount.core.cell;

import static org.quicktheories.QuickTheory.qt;

import org.testng.annotations.Test;
import org.wasabimount.core.FuzzSteps;
import org.wasabimount.protocol.cell.TaskPhase;

/** Leases, ownership, capacity and quota against what workers really run, under faults that the seed chooses. */
public class CellFuzzTest {

    private static final long SEED = Long.getLong("fuzz.seed", 20261203L);
    private static final int EXAMPLES = Integer.getInteger("fuzz.examples", 500);
    private static final int STEPS = Integer.getInteger("fuzz.steps", 1_000);
    private static final int WORKERS = 4;

    private enum Action implements FuzzSteps.Weighted {
        ADVANCE(60),
        DECIDE(40),
        HEARTBEAT(80),
        TAKE_HEARTBEAT(80),
        TAKE_HEARTBEAT_TWICE(10),
        TAKE_ANSWERS(80),
        DECLARE(12),
        DELETE(4),
        SUCCEED(15),
        FAIL(6),
        LOSE_MESSAGES(6),
        FREEZE(2),
        THAW(6),
        RESTART_WORKER(2),
        CHANGE_LEADER(3),
        LONG_SILENCE(1);

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
    public void workersNeverRunTooMuchNorATaskTwice() {
        qt().withFixedSeed(SEED)
                .withExamples(EXAMPLES)
                .withShrinkCycles(EXAMPLES)
                .forAll(FuzzSteps.of(Action.class, STEPS))
                .checkAssert(steps -> {
                    FakeCell cell = new FakeCell(WORKERS);
                    steps.forEach(step -> take(cell, step));
                    cell.calmDownAndCheck();
                });
    }

    private static void take(FakeCell cell, FuzzSteps.Step<Action> step) {
        int worker = step.first();
        switch (step.action()) {
            case ADVANCE -> cell.advance(step.first() % 120);
            case DECIDE -> cell.decide();
            case HEARTBEAT -> cell.heartbeat(worker);
            case TAKE_HEARTBEAT -> cell.takeHeartbeat(worker, step.second(), false);
            case TAKE_HEARTBEAT_TWICE -> cell.takeHeartbeat(worker, step.second(), true);
            case TAKE_ANSWERS -> cell.takeAnswers(worker);
            case DECLARE -> cell.declare(step.first(), step.second(), step.second() / 7);
            case DELETE -> cell.delete(step.first());
            case SUCCEED -> cell.endTask(worker, TaskPhase.SUCCEEDED);
            case FAIL -> cell.endTask(worker, TaskPhase.FAILED);
            case LOSE_MESSAGES -> cell.loseMessages(worker);
            case FREEZE -> cell.freeze(worker, true);
            case THAW -> cell.freeze(worker, false);
            case RESTART_WORKER -> cell.restartWorker(worker);
            case CHANGE_LEADER -> cell.changeLeader();
            case LONG_SILENCE -> cell.advance(3_000);
            default -> throw new IllegalStateException("unknown action " + step.action());
        }
    }
}
