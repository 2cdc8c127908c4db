package org.wasabimount.core.interference;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;

/** Feeds lists of workers directly. */
public class InterferenceLearnerTest {

    private static final TaskKind SLOWED = new TaskKind("slowed");
    private static final TaskKind NEIGHBOUR = new TaskKind("neighbour");

    private final List<LearntPair> learnt = new ArrayList<>();
    private final List<LearntPair> forgotten = new ArrayList<>();
    private InterferenceLearner learner;
    private long nowMillis = 1_000;

    @BeforeMethod
    public void startWithoutKnowledge() {
        learnt.clear();
        forgotten.clear();
        learner = new InterferenceLearner(learnt::add, forgotten::add);
    }

    private static ListedRun row(String job, TaskKind kind, int percent) {
        return new ListedRun(new RunId(new TaskId(job, 0, 0, 0), 1), kind, ListedRun.Measure.PROGRESS, percent, 0, -1);
    }

    /** Lists a task on each worker that works at one pace alone, then at another one beside a neighbour. */
    private void share(int workers, int alonePercent, int besidePercent) {
        List<WorkerPaces> paces = workers(workers);
        for (int round = 0; round < 60 / workers; round++) {
            for (int list = 0; list < 8; list++, nowMillis += 500) {
                int percent = Math.min(list, 4) * alonePercent + Math.max(0, list - 4) * besidePercent;
                for (int worker = 0; worker < workers; worker++) {
                    String job = "job" + round + "-" + worker;
                    List<ListedRun> rows = new ArrayList<>(List.of(row(job, SLOWED, percent)));
                    if (list >= 4) {
                        rows.add(row(job + "n", NEIGHBOUR, 2 * list));
                    }
                    learner.listed(paces.get(worker), rows, List.of(), nowMillis);
                }
            }
        }
    }

    private List<WorkerPaces> workers(int count) {
        return IntStream.range(0, count).mapToObj(number -> learner.newWorker()).toList();
    }

    @Test
    public void learnsFromPaceOfSameTaskOnSeveralWorkers() {
        share(8, 16, 8);
        assertEquals(learnt.size(), 1);
        assertEquals(learnt.get(0).slowed(), SLOWED);
        assertEquals(learnt.get(0).neighbour(), NEIGHBOUR);
        assertEquals(learner.slowdown(SLOWED, List.of(NEIGHBOUR)), 2, 0.2);
        // Whichever of the two comes second is kept apart.
        assertEquals(learner.slowdown(NEIGHBOUR, List.of(SLOWED)), 2, 0.2);
        assertEquals(learner.slowdown(SLOWED, List.of(SLOWED)), 1, 0);
        assertTrue(forgotten.isEmpty());
    }

    @Test
    public void singleWorkerTeachesNothing() {
        share(1, 16, 8);
        assertEquals(learnt, List.of());
    }

    @Test
    public void steadyPaceTeachesNothing() {
        share(8, 12, 12);
        assertEquals(learnt, List.of());
    }

    @Test
    public void evidenceDecays() {
        share(8, 16, 8);
        nowMillis += 600_000;
        learner.listed(learner.newWorker(), List.of(), List.of(), nowMillis);
        assertEquals(forgotten.size(), 1);
        assertFalse(learner.knowsAny());
        assertEquals(learner.pairs(), 0);
    }

    @Test
    public void stateStaysBounded() {
        assertTrue(pairsOf(40) > 0);
        assertTrue(pairsOf(500) <= InterferenceLearner.MAX_PAIRS);
    }

    /** Lists tasks of many kinds, each beside one of another kind for a part of its time; returns the number of pairs. */
    private int pairsOf(int kinds) {
        List<WorkerPaces> workers = workers(8);
        for (int job = 0; job < 1_000; job++) {
            TaskKind kind = new TaskKind("kind" + job % kinds);
            TaskKind other = new TaskKind("kind" + (job * 7 + job / kinds) % kinds);
            WorkerPaces worker = workers.get(job % 8);
            for (int list = 0; list < 8; list++, nowMillis += 50) {
                List<ListedRun> rows = new ArrayList<>(List.of(row("j" + job, kind, 12 * list)));
                if (list >= 4) {
                    rows.add(row("o" + job, other, 12 * list));
                }
                learner.listed(worker, rows, List.of(), nowMillis + 450 * list);
            }
            assertTrue(worker.runs().size() <= 2);
            assertTrue(learner.pairs() <= InterferenceLearner.MAX_PAIRS, learner.pairs() + " pairs");
        }
        return learner.pairs();
    }
}
