package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.interference.SharingTerms;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Step;

/** Replays tasks that slow each other on shared workers, in virtual time, beside today's rule as the baseline. */
public class InterferenceTest {

    private static final SharingTerms DECLARED = new SharingTerms(4_000, 100);
    private static final Capacity WORKER = new Capacity(16_000, 32_000, 0);
    private static final Capacity TASK = new Capacity(4_000, 4_000, 0);
    private static final int TASKS_PER_JOB = 6;
    private static final long LEARNING_MILLIS = 60_000;

    /** A cell in which jobs of two images share the workers, with room for more than twice as many. */
    private static final class SharedCell {
        final SimulatedCell cell;
        final int workers;
        int jobs;

        SharedCell(long seed, int workers, SharingTerms sharing, double slowdown) {
            this.workers = workers;
            cell = new SimulatedCell(seed);
            cell.sharing = sharing;
            cell.changeLeader();
            cell.slowdown = (task, neighbour) ->
                    image(task).equals("a") && image(neighbour).equals("b") ? slowdown : 1;
            cell.workMillis(1_500);
            cell.addresses(workers).forEach(address -> cell.worker("w" + address, address, WORKER));
            cell.run(1_000);
        }

        String image(TaskId task) {
            return cell.table.job(task.job()).orElseThrow().step(task.step()).getImage();
        }

        JobSpec job(String image) {
            JobSpec job = cell.job(image + jobs++, TASKS_PER_JOB, TASK, false);
            return job.toBuilder()
                    .setSteps(0, job.getSteps(0).toBuilder().setImage(image))
                    .build();
        }

        /** Submits jobs of both images for a time; returns the ids of those of the image that is slowed. */
        List<String> load(long millis) {
            List<String> slowed = new ArrayList<>();
            for (long until = cell.nowMillis() + millis; cell.nowMillis() < until; ) {
                JobSpec job = job("a");
                slowed.add(job.getId());
                cell.submit(job);
                cell.submit(job("b"));
                cell.run(6_000 / workers + cell.random.nextInt(12_000 / workers));
            }
            return slowed;
        }

        /** Returns the mean time in which jobs of the slowed image completed, after a time in which to learn. */
        double meanMillis() {
            load(LEARNING_MILLIS);
            List<String> measured = load(30_000);
            cell.run(20_000);
            return measured.stream()
                    .map(id -> cell.table.job(id).orElseThrow())
                    .peek(job -> assertEquals(job.phase(), JobPhase.COMPLETED))
                    .mapToLong(job -> job.endedMillis() - job.acceptedMillis())
                    .average()
                    .orElseThrow();
        }

        int count(InterferenceEvent event) {
            return cell.interferenceEvents.getOrDefault(event, 0);
        }
    }

    @Test
    public void kindsThatSlowEachOtherAreKeptApart() {
        for (long seed = 1; seed <= 2; seed++) {
            double unaffected = new SharedCell(seed, 12, SharingTerms.NONE, 1).meanMillis();
            double baseline = new SharedCell(seed, 12, SharingTerms.NONE, 2.5).meanMillis();
            SharedCell shared = new SharedCell(seed, 12, DECLARED, 2.5);
            double apart = shared.meanMillis();
            assertTrue(shared.count(InterferenceEvent.PAIR_LEARNT) > 0);
            assertTrue(
                    apart - unaffected < 0.5 * (baseline - unaffected),
                    unaffected + " ms alone, " + baseline + " ms by best fit, " + apart + " ms kept apart");
            assertEquals(shared.cell.violations, List.of());
        }
    }

    @Test
    public void startsBesideKindThatSlowsWithoutRoomElsewhere() {
        SharedCell shared = new SharedCell(4, 12, DECLARED, 2.5);
        shared.load(LEARNING_MILLIS);
        shared.cell.run(20_000);
        shared.cell.workMillis(100_000);
        IntStream.range(0, 7).forEach(number -> shared.cell.submit(shared.job("b")));
        shared.cell.run(100);
        int togetherBefore = shared.count(InterferenceEvent.PLACED_TOGETHER);
        JobSpec job = shared.job("a");
        shared.cell.submit(job);
        shared.cell.run(30);
        assertEquals(shared.cell.starts.get(job.getId()), Integer.valueOf(TASKS_PER_JOB));
        assertTrue(shared.count(InterferenceEvent.PLACED_TOGETHER) > togetherBefore);
    }

    /** Guards against slow workers, tasks that take six times as long and wrong estimates taken for interference. */
    @Test
    public void slowWorkersAndLongTailsTeachNothing() {
        for (long seed = 1; seed <= 4; seed++) {
            SharedCell shared = new SharedCell(seed, 12, DECLARED, 1);
            shared.cell.byAddress.values().stream().limit(3).forEach(worker -> worker.slowdownFactor = 2.5);
            for (int number = 0; number < 1_000; number += 11) {
                shared.cell.slowJobs.add("a" + number);
            }
            shared.load(90_000);
            assertEquals(shared.count(InterferenceEvent.PAIR_LEARNT), 0, "seed " + seed);
        }
    }

    @Test
    public void freshLeaderStartsWithoutKnowledgeAndLearnsAgain() {
        SharedCell shared = new SharedCell(5, 12, DECLARED, 2.5);
        shared.load(LEARNING_MILLIS);
        int learnt = shared.count(InterferenceEvent.PAIR_LEARNT);
        shared.cell.changeLeader();
        shared.cell.run(1_500);
        int together = shared.count(InterferenceEvent.PLACED_TOGETHER);
        JobSpec job = shared.job("a");
        shared.cell.submit(job);
        shared.cell.run(30);
        assertEquals(shared.cell.starts.get(job.getId()), Integer.valueOf(TASKS_PER_JOB));
        assertEquals(shared.count(InterferenceEvent.PLACED_TOGETHER), together);
        shared.load(LEARNING_MILLIS);
        assertTrue(shared.count(InterferenceEvent.PAIR_LEARNT) > learnt);
        assertEquals(shared.cell.violations, List.of());
    }

    /** Guards against cost that grows with the pairs that were learnt, or with the workers. */
    @Test
    public void learntPairsAndWorkersDoNotEnterPass() {
        double without = itemsPerStart(new SharedCell(6, 48, SharingTerms.NONE, 2.5));
        double few = itemsPerStart(new SharedCell(6, 48, DECLARED, 2.5));
        double many = itemsPerStart(new SharedCell(6, 192, DECLARED, 2.5));
        String figures = without + " items a started task without pairs, " + few + " with, " + many + " on 192 workers";
        assertTrue(few < 2 * without && many < 1.5 * few, figures);
    }

    private static double itemsPerStart(SharedCell shared) {
        shared.load(LEARNING_MILLIS);
        long itemsBefore = items(shared.cell);
        long startsBefore = starts(shared.cell);
        shared.load(2_000);
        return (double) (items(shared.cell) - itemsBefore) / (starts(shared.cell) - startsBefore);
    }

    private static long items(SimulatedCell cell) {
        return Arrays.stream(ExaminedCounts.Part.values())
                .mapToLong(cell.dispatcher.examined()::of)
                .sum();
    }

    private static long starts(SimulatedCell cell) {
        return cell.starts.values().stream().mapToLong(Integer::longValue).sum();
    }

    /** A worker with a task that serves with a target of 100 ms, and one that fills. */
    private static final class PacedCell {
        final SimulatedCell cell = new SimulatedCell(7);
        final SimulatedWorker worker;
        long tailMillis = 60;
        long missedMillis;
        long longestMissedMillis;

        PacedCell(SharingTerms sharing) {
            cell.sharing = sharing;
            cell.changeLeader();
            cell.workMillis(1_000_000);
            cell.tailMillis = task -> task.job().equals("serving") ? tailMillis : 0;
            worker = cell.worker("w", cell.addresses(1).iterator().next(), WORKER);
            cell.run(1_000);
            submit("serving", Step.newBuilder().setTargetMillis(100));
        }

        void submit(String id, Step.Builder terms) {
            JobSpec job = cell.job(id, 1, TASK, false);
            Step step = job.getSteps(0).toBuilder()
                    .mergeFrom(terms.setLongRunning(true).build())
                    .build();
            cell.submit(job.toBuilder().setSteps(0, step).build());
        }

        void run(long millis) {
            for (long until = cell.nowMillis() + millis; cell.nowMillis() < until; cell.run(10)) {
                boolean missed =
                        worker.activeRuns.keySet().stream().anyMatch(run -> cell.load(run.task(), worker) >= 100);
                missedMillis = missed ? missedMillis + 10 : 0;
                longestMissedMillis = Math.max(longestMissedMillis, missedMillis);
            }
        }

        int fillerPercent() {
            return worker.activeRuns.entrySet().stream()
                    .filter(run -> run.getKey().task().job().equals("filling"))
                    .mapToInt(run -> run.getValue().pacePercent)
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    public void fillersArePacedDownBesideMissedTargetAndUpAgain() {
        PacedCell baseline = new PacedCell(SharingTerms.NONE);
        PacedCell paced = new PacedCell(DECLARED);
        for (PacedCell load : List.of(baseline, paced)) {
            load.submit("filling", Step.newBuilder().setFiller(true));
            load.run(20_000);
        }
        assertTrue(baseline.longestMissedMillis > DECLARED.harmMillis());
        assertTrue(paced.longestMissedMillis <= DECLARED.harmMillis() / 2, "missed " + paced.longestMissedMillis);
        assertTrue(paced.fillerPercent() < 67);
        paced.tailMillis = 30;
        paced.run(20_000);
        assertEquals(paced.fillerPercent(), 100);
        assertEquals(paced.cell.table.job("filling").map(Job::phase).orElseThrow(), JobPhase.ACTIVE);
    }

    @Test
    public void lostPacingOrderIsRepeated() {
        PacedCell paced = new PacedCell(DECLARED);
        paced.run(1_000);
        paced.cell.lostResponseShare = 0.5;
        paced.submit("filling", Step.newBuilder().setFiller(true));
        paced.run(20_000);
        paced.cell.lostResponseShare = 0;
        paced.run(15_000);
        assertTrue(paced.longestMissedMillis <= DECLARED.harmMillis(), "missed " + paced.longestMissedMillis);
        assertTrue(paced.fillerPercent() < 67);
    }

    /** Guards against fillers of an earlier leader that work on beside a missed target, or stay stopped for ever. */
    @Test
    public void nextLeaderPacesInheritedFillers() {
        PacedCell paced = new PacedCell(DECLARED);
        paced.submit("filling", Step.newBuilder().setFiller(true));
        paced.run(5_000);
        paced.cell.changeLeader();
        paced.run(20_000);
        assertTrue(paced.longestMissedMillis <= DECLARED.harmMillis() / 2, "missed " + paced.longestMissedMillis);
        paced.tailMillis = 30;
        paced.run(20_000);
        assertEquals(paced.fillerPercent(), 100);
    }
}
