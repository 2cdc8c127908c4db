package org.wasabimount.bench.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.HdrHistogram.Histogram;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.Task;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.core.placement.PlacementPlan;
import org.wasabimount.core.placement.PlacementPolicy;
import org.wasabimount.core.placement.Scheduler;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.Binding;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.TaskPhase;

/**
 * Runs a scheduler on a simulated cell. Workers start tasks after a short fixed delay; tasks end after random run times
 * that were not declared to the scheduler.
 */
final class PlacementSimulation {

    private static final Capacity WORKER = new Capacity(32_000, 131_072, 1);
    private static final int DOMAINS = 3;
    private static final int ORGANISATIONS = 40;
    private static final long TICK_MILLIS = 100;
    private static final long START_MILLIS = 100;
    private static final int ROUND_TASKS = 64;
    private static final int MAX_ROUNDS_PER_TICK = 400;
    private static final int FAILING_WORKER_EVERY = 100;
    private static final int TASKS_PER_SERVICE = 12;
    private static final long SEED = 11;
    private static final long MAX_NANOS = 10_000_000_000L;
    private static final long MAX_WAIT_MILLIS = 3_600_000;

    private final SimulatedCell cell = new SimulatedCell();
    private final Scheduler scheduler;
    private final Random random = new Random(SEED);
    private final int workers;
    private final int tasks;
    private final int startsPerSecond;
    private final Histogram decisionNanos = new Histogram(MAX_NANOS, 3);
    private final Map<WorkClass, Histogram> waitMillisByClass = new EnumMap<>(WorkClass.class);
    private final PriorityQueue<ScheduledReport> scheduledReports =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    private final Map<String, Integer> startsLostByWorker = new HashMap<>();
    private long overcommittedWorkers;
    private long partiallyStartedJobs;
    private int nextName;

    /** Classes of work whose waiting times are measured separately. */
    enum WorkClass {
        URGENT,
        SERVICE,
        BATCH,
        JOB
    }

    private record ScheduledReport(long atMillis, Task task, long epoch, TaskPhase phase) {}

    PlacementSimulation(PlacementPolicy policy, int workers, int tasks, int startsPerSecond) {
        this.scheduler = new Scheduler(policy, SEED);
        this.workers = workers;
        this.tasks = tasks;
        this.startsPerSecond = startsPerSecond;
        for (WorkClass workClass : WorkClass.values()) {
            waitMillisByClass.put(workClass, new Histogram(MAX_WAIT_MILLIS, 3));
        }
        for (int number = 0; number < ORGANISATIONS; number++) {
            cell.organisation("org-" + number, 1 + number % 4);
        }
        for (int number = 0; number < workers; number++) {
            cell.worker(number, DOMAINS, WORKER);
        }
    }

    /**
     * Declares a fifth of the tasks as services and the rest as batches and jobs, and places them. The measurements of this
     * phase are discarded.
     */
    void fill() {
        int services = tasks / 5;
        for (int declared = 0; declared < services; declared += TASKS_PER_SERVICE) {
            declare(ResourceKind.SERVICE, Math.min(TASKS_PER_SERVICE, services - declared), false);
        }
        declareTasks(tasks - services);
        for (int tick = 0; tick < 600 && !cell.state().pendingResources().isEmpty(); tick++) {
            tick();
        }
        decisionNanos.reset();
        waitMillisByClass.values().forEach(Histogram::reset);
    }

    /** Runs with a constant rate of new work, jobs that can never be placed, and periodic mass cancellations. */
    void runSteadyState(int seconds) {
        for (int tick = 0; tick < seconds * 1_000 / TICK_MILLIS; tick++) {
            declareArrivals(tick);
            if (tick % 300 == 299) {
                cancelSomeWork();
            }
            tick();
        }
    }

    /** Loses a rack, then a failure domain, while new work still arrives. */
    void runWithLosses(int seconds) {
        int ticks = (int) (seconds * 1_000L / TICK_MILLIS / 2);
        for (int tick = 0; tick < ticks; tick++) {
            if (tick == ticks / 4) {
                loseWorkers(worker -> worker.rack().equals("rack-0-0"));
            }
            if (tick == ticks / 2) {
                loseWorkers(worker -> worker.domain().name().equals("domain-1"));
            }
            declareArrivals(tick);
            tick();
        }
    }

    Histogram decisionNanos() {
        return decisionNanos;
    }

    long waitP99Millis(WorkClass workClass) {
        return waitMillisByClass.get(workClass).getValueAtPercentile(99);
    }

    long maxJobWaitMillis() {
        return waitMillisByClass.get(WorkClass.JOB).getMaxValue();
    }

    long overcommittedWorkers() {
        return overcommittedWorkers;
    }

    long partiallyStartedJobs() {
        return partiallyStartedJobs;
    }

    double startsLostPerBadWorker() {
        return startsLostByWorker.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    private void declareArrivals(int tick) {
        declareTasks((int) (startsPerSecond * TICK_MILLIS / 1_000));
        if (tick % 10 == 0) {
            declare(ResourceKind.BATCH, 2, true);
        }
        if (tick % 50 == 0) {
            String organisation = "org-" + random.nextInt(ORGANISATIONS);
            cell.declare(organisation, ResourceKind.JOB, name(), WORKER.times(2), 4, false);
            // Each task fits on a worker, but the cell has fewer workers than the job has tasks.
            cell.declare(organisation, ResourceKind.JOB, name(), WORKER, workers + 1, false);
        }
    }

    private void declareTasks(int count) {
        int remaining = count;
        while (remaining > 0) {
            boolean job = random.nextInt(4) == 0;
            int size = Math.min(remaining, 1 + random.nextInt(job ? 16 : 40));
            declare(job ? ResourceKind.JOB : ResourceKind.BATCH, size, false);
            remaining -= size;
        }
    }

    private void declare(ResourceKind kind, int count, boolean urgent) {
        boolean needsAccelerator = kind != ResourceKind.SERVICE && random.nextInt(20) == 0;
        Capacity size = new Capacity(
                500L + 250 * random.nextInt(8), 1_024L + 512 * random.nextInt(12), needsAccelerator ? 1 : 0);
        cell.declare("org-" + random.nextInt(ORGANISATIONS), kind, name(), size, count, urgent);
    }

    private String name() {
        nextName++;
        return "work-" + nextName;
    }

    private void cancelSomeWork() {
        List<DeclaredResource> finiteResources = cell.state().resources().stream()
                .filter(resource -> !resource.kind().runsForever())
                .toList();
        finiteResources.stream()
                .filter(resource -> random.nextInt(20) == 0)
                .forEach(resource -> cell.delete(
                        resource.organisation().name(), resource.kind().messageKind(), resource.name()));
    }

    private void loseWorkers(java.util.function.Predicate<Worker> isLost) {
        cell.state().workers().stream()
                .filter(isLost)
                .map(worker -> worker.id().name())
                .toList()
                .forEach(cell::loseWorker);
    }

    private void tick() {
        cell.advance(TICK_MILLIS);
        endTasks();
        stopTasks();
        for (int round = 0; round < MAX_ROUNDS_PER_TICK; round++) {
            long beforeNanos = System.nanoTime();
            PlacementPlan plan = scheduler.plan(cell.state(), cell.nowMillis(), ROUND_TASKS);
            long tookNanos = System.nanoTime() - beforeNanos;
            int boundTasks = plan.bindings().stream()
                    .mapToInt(BindTasks::getBindingsCount)
                    .sum();
            plan.preemptions().forEach(cell::preempt);
            if (boundTasks == 0) {
                break;
            }
            decisionNanos.recordValueWithCount(Math.min(MAX_NANOS, tookNanos / boundTasks), boundTasks);
            plan.bindings().forEach(this::start);
        }
        countViolations();
    }

    private void start(BindTasks bindings) {
        if (!cell.bind(bindings)) {
            return;
        }
        for (Binding binding : bindings.getBindingsList()) {
            Task task = cell.state().task(binding.getTask()).orElseThrow();
            waitMillisByClass
                    .get(workClass(task.owner()))
                    .recordValue(Math.min(MAX_WAIT_MILLIS, cell.nowMillis() - task.pendingSinceMillis()));
            long startMillis = cell.nowMillis() + START_MILLIS;
            if (isFailingWorker(task.worker())) {
                scheduledReports.add(new ScheduledReport(startMillis, task, task.epoch(), TaskPhase.FAILED));
                startsLostByWorker.merge(task.worker().id().name(), 1, Integer::sum);
                continue;
            }
            scheduledReports.add(new ScheduledReport(startMillis, task, task.epoch(), TaskPhase.RUNNING));
            if (!task.owner().kind().runsForever()) {
                scheduledReports.add(
                        new ScheduledReport(startMillis + runMillis(), task, task.epoch(), TaskPhase.SUCCEEDED));
            }
        }
    }

    /**
     * Returns an exponentially distributed run time, which has a long tail and is capped. The mean keeps about the
     * configured number of tasks running.
     */
    private long runMillis() {
        double mean = 800.0 * tasks / startsPerSecond;
        return (long) Math.min(50 * mean, -mean * Math.log(1 - random.nextDouble()));
    }

    private void endTasks() {
        while (!scheduledReports.isEmpty() && scheduledReports.peek().atMillis() <= cell.nowMillis()) {
            ScheduledReport next = scheduledReports.poll();
            boolean isCurrent =
                    next.task().epoch() == next.epoch() && next.task().state().holdsCapacity();
            if (isCurrent) {
                boolean stopping = next.task().state() == TaskState.STOPPING;
                cell.report(next.task(), stopping ? TaskPhase.STOPPED : next.phase());
            }
        }
    }

    private void stopTasks() {
        List<Task> stopping = new ArrayList<>();
        cell.state().resources().stream()
                .filter(resource -> resource.count(TaskState.STOPPING) > 0)
                .flatMap(resource -> resource.tasks().stream())
                .filter(task -> task.state() == TaskState.STOPPING)
                .forEach(stopping::add);
        stopping.forEach(task -> cell.report(task, TaskPhase.STOPPED));
    }

    private void countViolations() {
        overcommittedWorkers += cell.state().workers().stream()
                .filter(worker -> !worker.committed().fitsIn(worker.size()))
                .count();
        partiallyStartedJobs += cell.state().pendingResources().stream()
                .filter(resource -> resource.kind().allAtOnce())
                .filter(job -> job.count(TaskState.BOUND) + job.count(TaskState.RUNNING) > 0)
                .filter(job -> job.count(TaskState.STOPPING) == 0)
                .count();
    }

    private static WorkClass workClass(DeclaredResource resource) {
        if (resource.spec().getUrgent()) {
            return WorkClass.URGENT;
        }
        return WorkClass.valueOf(resource.kind().name());
    }

    private static boolean isFailingWorker(Worker worker) {
        String name = worker.id().name();
        int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
        return number % FAILING_WORKER_EVERY == FAILING_WORKER_EVERY / 2 || number == 1;
    }
}
