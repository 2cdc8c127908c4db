package org.wasabimount.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.protocol.job.Step;

/**
 * Finds open jobs that have no run for long although most cores are free and the workers that may run them have room for
 * twice their tasks.
 */
final class StalledJobs {

    private static final long SAMPLE_MILLIS = 500;

    /** From the contract: 3 s, and one sample. */
    private static final long LIMIT_MILLIS = 3_500;

    private final SimulatedCell cell;
    private final Map<String, Long> sinceMillis = new HashMap<>();

    /** The longest time for each job that has stalled, in milliseconds. */
    final Map<String, Long> stalled = new LinkedHashMap<>();

    StalledJobs(SimulatedCell cell) {
        this.cell = cell;
    }

    /** Runs the cell and samples it. */
    void run(long millis) {
        for (long ranMillis = 0; ranMillis < millis; ranMillis += SAMPLE_MILLIS) {
            cell.run(SAMPLE_MILLIS);
            sample();
        }
    }

    /** Returns the longest time of any job, in milliseconds; 0 if none has stalled. */
    long worstMillis() {
        return stalled.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** Without a leader nothing is counted. */
    void sample() {
        if (cell.leaderSuspended) {
            sinceMillis.clear();
            return;
        }
        List<SimulatedWorker> alive = cell.byAddress.values().stream()
                .filter(worker -> !worker.crashed && !cell.disconnectedAddresses.contains(worker.address))
                .toList();
        double inUse = alive.stream()
                .mapToDouble(worker -> (double) worker.used().cpuMillis() / worker.capacity.cpuMillis())
                .average()
                .orElse(1);
        Set<String> running = new HashSet<>();
        alive.forEach(worker ->
                worker.activeRuns.keySet().forEach(run -> running.add(run.task().job())));
        for (Job job : cell.table.jobs()) {
            boolean stalls = job.open() && inUse < 0.5 && !running.contains(job.id()) && hasRoomTwice(job, alive);
            if (!stalls) {
                sinceMillis.remove(job.id());
                continue;
            }
            long since = sinceMillis.computeIfAbsent(job.id(), absent -> cell.nowMillis());
            if (cell.nowMillis() - since >= LIMIT_MILLIS) {
                stalled.merge(describe(job), cell.nowMillis() - since, Math::max);
            }
        }
    }

    /**
     * Returns whether tasks of a step may be started: for a gang, if none of its runs may go on on a worker that is cut off or
     * has crashed, as a second run beside it is forbidden until its lease has expired.
     */
    private static boolean startable(Step step, List<JobTask> tasks, List<SimulatedWorker> alive) {
        List<JobTask> unfinished = tasks.stream().filter(task -> !task.done()).toList();
        Predicate<JobTask> notOnLostWorker = task -> task.incarnation().stream()
                .allMatch(incarnation -> alive.stream()
                        .anyMatch(worker -> worker.id.equals(incarnation.worker())
                                && worker.bornMillis == incarnation.bornMillis()));
        return step.getGang()
                ? !unfinished.isEmpty() && unfinished.stream().allMatch(notOnLostWorker)
                : unfinished.stream().anyMatch(notOnLostWorker);
    }

    private boolean hasRoomTwice(Job job, List<SimulatedWorker> alive) {
        for (int number = 0; number < job.spec().getStepsCount(); number++) {
            Step step = job.step(number);
            List<JobTask> tasks = job.tasks(0, number);
            if (!job.unblocked(0, number) || !startable(step, tasks, alive)) {
                continue;
            }
            Capacity size = Capacity.of(step.getSize());
            long needed = 2L * (step.getGang() ? step.getCount() : 1);
            String id = tasks.get(0).id().stepId().toString();
            long room = alive.stream()
                    .filter(worker -> step.getRequiredLabel().isEmpty()
                            || step.getRequiredLabel().equals(worker.label))
                    .filter(worker ->
                            !job.queue().hasAdvice() || cell.mayRun(job.queue().getName(), id, worker.id))
                    .mapToLong(worker -> size.timesIn(worker.capacity.minus(worker.used())))
                    .sum();
            if (room >= needed) {
                return true;
            }
        }
        return false;
    }

    private String describe(Job job) {
        Step step = job.step(0);
        return job.id() + " tasks=" + step.getCount() + " cpu=" + step.getSize().getCpuMillis() + " gang="
                + step.getGang();
    }
}
