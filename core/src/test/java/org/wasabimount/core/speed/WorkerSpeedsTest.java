package org.wasabimount.core.speed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WorkerSpeedsTest {

    private static final int TASKS = 5;

    private WorkerSpeeds speeds;
    private Random random;

    @BeforeMethod
    public void forget() {
        speeds = new WorkerSpeeds();
        random = new Random(7);
    }

    /** Plays steps whose declared time is wrong by up to ten times, on workers w0 to w5; three in a hundred tasks are long. */
    private void learn(int steps, double... speedOf) {
        for (int step = 0; step < steps; step++) {
            double error = Math.exp(random.nextGaussian());
            for (int task = 0; task < TASKS; task++) {
                int worker = random.nextInt(speedOf.length);
                double length = (0.7 + 0.6 * random.nextDouble()) * (random.nextInt(100) < 3 ? 7 : 1);
                speeds.record(
                        step + "." + task, "" + step, "w" + worker, "k", speedOf[worker] * error / length, step * 50L);
            }
        }
    }

    @Test
    public void learnsSpeedsAlthoughDeclaredTimesAreWrong() {
        learn(200, 0.6, 1, 1.6, 0.6, 1, 1.6);
        double slow = speeds.speed("w0", "k", 10_000);
        double fast = speeds.speed("w2", "k", 10_000);
        assertTrue(fast / slow > 2 && fast / slow < 3.2, fast + " / " + slow);
    }

    @Test
    public void keepsEqualWorkersEqual() {
        learn(200, 1, 1, 1, 1, 1, 1);
        for (int worker = 0; worker < 6; worker++) {
            assertEquals(speeds.speed("w" + worker, "k", 10_000), 1, 0.15);
        }
    }

    @Test
    public void givesNewWorkersTheSpeedOfTheirKind() {
        for (int step = 0; step < 100; step++) {
            speeds.record("a" + step, "" + step, "slow" + step % 4, "a", 0.6, step);
            speeds.record("b" + step, "" + step, "fast" + step % 4, "b", 1.6, step);
        }
        assertTrue(speeds.speed("new", "a", 100) < 0.8);
        assertTrue(speeds.speed("new", "b", 100) > 1.25);
        assertEquals(speeds.speed("new", "c", 100), WorkerSpeeds.USUAL);
    }

    @Test
    public void countsEachRunOnce() {
        speeds.record("r1", "s", "w0", "k", 1, 0);
        for (int list = 0; list < 50; list++) {
            speeds.record("r2", "s", "w1", "k", 0.14, list);
        }
        assertTrue(speeds.speed("w1", "k", 50) > 0.75);
    }

    @Test
    public void forgetsWhatWasLearnt() {
        learn(200, 0.6, 1, 1.6);
        double before = speeds.speed("w0", "k", 10_000);
        assertTrue(before < 0.8);
        assertTrue(speeds.speed("w0", "k", 1_200_000) > 0.97);
    }

    @Test
    public void keepsWithinItsBounds() {
        for (int worker = 0; worker < 20_000; worker++) {
            speeds.record("a" + worker, "s" + worker, "x", "k", 1, worker);
            speeds.record("b" + worker, "s" + worker, "w" + worker, "k" + worker, 2, worker);
        }
        assertEquals(speeds.speed("w0", "none", 20_000), WorkerSpeeds.USUAL);
        assertTrue(speeds.speed("w19999", "k19999", 20_000) > 1);
    }
}
