package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.protocol.job.ExplainedStep;
import org.wasabimount.protocol.job.ExplainedWorkers;
import org.wasabimount.protocol.job.JobSpec;

/** Compares explanations with what happens when the same job is submitted, in drawn cells and in virtual time. */
public class StepExplainerTest {

    private static final int CASES = 60;

    /** Time in which a placement is decided and committed, in milliseconds. */
    private static final long PLACEMENT_MILLIS = 30;

    private static final Map<Integer, String> LABELS = Map.of(0, "a", 1, "b");

    /** A cell with workers of unlike size and state, tasks that last for long, and jobs that wait. */
    private static final class DrawnCase {
        final Random draw;
        final SimulatedCell cell;
        final Map<String, WaitReason> waits = new HashMap<>();

        DrawnCase(long seed) {
            draw = new Random(seed);
            cell = new SimulatedCell(seed);
            if (draw.nextInt(4) == 0) {
                cell.withAdvice();
            }
            cell.putQueues(List.of(
                    cell.queue().toBuilder().setPriority(draw.nextInt(2)).build()));
            cell.dispatcher.setStatusListener(status ->
                    status.longWaits().forEach(wait -> waits.put(wait.step().job(), wait.reason())));
            cell.addresses(2 + draw.nextInt(15)).forEach(address -> {
                SimulatedWorker worker =
                        cell.worker("w" + address, address, new Capacity(4_000L * (1 + draw.nextInt(4)), 64_000, 0));
                worker.label = LABELS.get(draw.nextInt(2));
                worker.rack = "r" + draw.nextInt(3);
            });
            cell.run(2_000);
            cell.workMillis(1_000_000);
            for (int job = draw.nextInt(6); job > 0; job--) {
                cell.submit(job("busy" + job));
            }
            cell.run(3_000);
            cell.byAddress.values().stream()
                    .filter(worker -> draw.nextInt(8) == 0)
                    .forEach(worker -> cell.disconnectedAddresses.add(worker.address));
            cell.run(2_500);
        }

        JobSpec job(String id) {
            Capacity size = new Capacity(1_000L * (1 + draw.nextInt(6)), 1_000, 0);
            JobSpec job = cell.job(id, 1 + draw.nextInt(12), size, draw.nextInt(3) == 0);
            return job.toBuilder()
                    .setSteps(
                            0,
                            job.getSteps(0).toBuilder()
                                    .setRequiredLabel(draw.nextInt(3) == 0 ? "b" : "")
                                    .setDataRack(draw.nextInt(4) == 0 ? "r1" : "")
                                    .setMaxPerWorker(draw.nextInt(4) == 0 ? 1 : 0))
                    .addSteps(job.getSteps(0).toBuilder().clearGang().addAfter(0))
                    .build();
        }

        List<ExplainedStep> explain(JobSpec spec) {
            cell.dispatcher.at(cell.nowMillis());
            return cell.dispatcher.explain(new Job(spec, cell.queue(), "", cell.wallMillis()), cell.wallMillis());
        }
    }

    @Test
    public void agreesWithWhatThenHappens() {
        int placedSomewhere = 0;
        int waited = 0;
        List<String> differences = new ArrayList<>();
        for (long seed = 1; seed <= CASES; seed++) {
            DrawnCase drawn = new DrawnCase(seed);
            JobSpec spec = drawn.job("asked");
            List<ExplainedStep> explained = drawn.explain(spec);
            assertEquals(explained.get(1).getWaitsFor(), "earlier_steps");
            drawn.cell.submit(spec);
            drawn.cell.run(PLACEMENT_MILLIS);
            List<JobTask> placed = drawn.cell.table.job("asked").orElseThrow().tasks(0, 0).stream()
                    .filter(task -> task.incarnation().isPresent())
                    .toList();
            ExplainedStep first = explained.get(0);
            Set<String> workers = placed.stream()
                    .map(task -> task.incarnation().orElseThrow().worker())
                    .collect(Collectors.toSet());
            drawn.cell.run(4_000);
            boolean placedAsTold = placed.size() == first.getPlaceableTasks()
                    && workers.size() == chosen(first).getCount()
                    && workers.containsAll(chosen(first).getExamplesList());
            String reason = drawn.waits.containsKey("asked") && !drawn.cell.advised()
                    ? drawn.waits.get("asked").label()
                    : first.getWaitsFor();
            if (!placedAsTold || !reason.equals(first.getWaitsFor())) {
                differences.add(
                        "seed " + seed + ": " + placed.size() + " on " + workers + ", " + reason + "; told " + first);
            }
            placedSomewhere += placed.isEmpty() ? 0 : 1;
            waited += first.getWaitsFor().isEmpty() ? 0 : 1;
        }
        assertEquals(differences, List.of());
        assertTrue(placedSomewhere >= CASES / 4, placedSomewhere + " cases with placements");
        assertTrue(waited >= CASES / 4, waited + " cases with tasks that wait");
    }

    private static ExplainedWorkers chosen(ExplainedStep step) {
        return step.getWorkersList().stream()
                .filter(group -> group.getVerdict().equals(WorkerVerdict.CHOSEN.label()))
                .findFirst()
                .orElse(ExplainedWorkers.getDefaultInstance());
    }

    @Test
    public void everyWorkerHasOneVerdict() {
        for (long seed = 1; seed <= CASES; seed++) {
            DrawnCase drawn = new DrawnCase(seed);
            List<ExplainedStep> explained = drawn.explain(drawn.job("asked"));
            int counted = explained.get(0).getWorkersList().stream()
                    .mapToInt(ExplainedWorkers::getCount)
                    .sum();
            assertEquals(counted, drawn.cell.byAddress.size());
        }
    }

    /** Guards against a question that makes calls, keeps room or enters the state. */
    @Test
    public void changesNothing() {
        for (long seed = 1; seed <= 20; seed++) {
            DrawnCase asked = new DrawnCase(seed);
            DrawnCase unasked = new DrawnCase(seed);
            JobSpec spec = asked.job("asked");
            for (int time = 0; time < 50; time++) {
                asked.explain(spec);
                asked.cell.run(50);
                unasked.cell.run(50);
            }
            assertEquals(asked.cell.table.snapshot(), unasked.cell.table.snapshot());
            assertEquals(asked.cell.adviceCalls, unasked.cell.adviceCalls);
        }
    }

    @Test
    public void explainsWhatAcceptedJobWaitsFor() {
        SimulatedCell cell = new SimulatedCell(1);
        cell.worker("w", cell.addresses(1).iterator().next(), new Capacity(4_000, 8_000, 0));
        cell.run(1_000);
        cell.workMillis(1_000_000);
        cell.submit(cell.job("busy", 4, new Capacity(1_000, 1_000, 0), false));
        cell.run(100);
        cell.submit(cell.job("job1", 2, new Capacity(1_000, 1_000, 0), false));
        cell.run(100);
        ExplainedStep step = cell.dispatcher
                .explain(cell.table.job("job1").orElseThrow(), cell.wallMillis())
                .get(0);
        assertEquals(step.getWaitsFor(), WaitReason.NO_ROOM.label());
        assertEquals(step.getWaitingTasks(), 2);
        assertEquals(step.getWorkers(0).getVerdict(), WorkerVerdict.NO_ROOM.label());
        assertEquals(step.getWorkers(0).getExamplesList(), List.of("w"));
    }
}
