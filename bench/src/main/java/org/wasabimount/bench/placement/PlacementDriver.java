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

/** Drives a scheduler over a cell whose workers start at once and end tasks after run times that nobody declared. */
final class PlacementDriver {

    private static final Capacity WORKER = new Capacity(32_000, 131_072, 1);
    private static final int DOMAINS = 3;
    private static final int ORGANISATIONS = 40;
    private static final long TICK_MILLIS = 100;
    private static final long START_MILLIS = 100;
    private static final int ROUND_TASKS = 64;
    private static final int MAX_ROUNDS_PER_TICK = 400;
    private static final int BAD_WORKER_EVERY = 100;
    private static final int TASKS_PER_SERVICE = 12;
    private static final long SEED = 11;
    private static final long MAX_NANOS = 10_000_000_000L;
    private static final long MAX_WAIT_MILLIS = 3_600_000;

    private final PlacementCell cell = new PlacementCell();
    private final Scheduler scheduler;
    private final Random random = new Random(SEED);
    private final int workers;
    private final int tasks;
    private final int startsPerSecond;
    private final Histogram decisionNanos = new Histogram(MAX_NANOS, 3);
    private final Map<Work, Histogram> waits = new EnumMap<>(Work.class);
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    private final Map<String, Integer> startsLost = new HashMap<>();
    private long overcommitted;
    private long halfStarted;
    private int nextName;

    /** The kinds of work whose waiting time is told apart. */
    enum Work {
        URGENT,
        SERVICE,
        BATCH,
        JOB
    }

    private record Due(long atMillis, Task task, long epoch, TaskPhase phase) {}

    PlacementDriver(PlacementPolicy policy, int workers, int tasks, int startsPerSecond) {
        this.scheduler = new Scheduler(policy, SEED);
        this.workers = workers;
        this.tasks = tasks;
        this.startsPerSecond = startsPerSecond;
        for (Work work : Work.values()) {
            waits.put(work, new Histogram(MAX_WAIT_MILLIS, 3));
        }
        for (int number = 0; number < ORGANISATIONS; number++) {
            cell.organisation("org-" + number, 1 + number % 4);
        }
        for (int number = 0; number < workers; number++) {
            cell.worker(number, DOMAINS, WORKER);
        }
    }

    /** Declares a fifth of the tasks as services and the rest as batches and jobs, and starts them all. */
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
        waits.values().forEach(Histogram::reset);
    }

    /** Keeps the cell busy with new work, jobs that can never run, and waves of cancellations. */
    void steady(int seconds) {
        for (int tick = 0; tick < seconds * 1_000 / TICK_MILLIS; tick++) {
            arrivals(tick);
            if (tick % 300 == 299) {
                cancelWave();
            }
            tick();
        }
    }

    /** Loses a rack, then a domain, while work goes on arriving. */
    void lose(int seconds) {
        int ticks = (int) (seconds * 1_000L / TICK_MILLIS / 2);
        for (int tick = 0; tick < ticks; tick++) {
            if (tick == ticks / 4) {
                loseWorkers(worker -> worker.rack().equals("rack-0-0"));
            }
            if (tick == ticks / 2) {
                loseWorkers(worker -> worker.domain().name().equals("domain-1"));
            }
            arrivals(tick);
            tick();
        }
    }

    Histogram decisionNanos() {
        return decisionNanos;
    }

    long waitMillis(Work work) {
        return waits.get(work).getValueAtPercentile(99);
    }

    long longestJobWaitMillis() {
        return waits.get(Work.JOB).getMaxValue();
    }

    long overcommitted() {
        return overcommitted;
    }

    long halfStarted() {
        return halfStarted;
    }

    double startsLostPerBadWorker() {
        return startsLost.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private void arrivals(int tick) {
        declareTasks((int) (startsPerSecond * TICK_MILLIS / 1_000));
        if (tick % 10 == 0) {
            declare(ResourceKind.BATCH, 2, true);
        }
        if (tick % 50 == 0) {
            String organisation = "org-" + random.nextInt(ORGANISATIONS);
            cell.declare(organisation, ResourceKind.JOB, name(), WORKER.times(2), 4, false);
            // Fits a worker of the cell, but there are too few of them.
            cell.declare(organisation, ResourceKind.JOB, name(), WORKER, workers + 1, false);
        }
    }

    private void declareTasks(int count) {
        int left = count;
        while (left > 0) {
            boolean job = random.nextInt(4) == 0;
            int size = Math.min(left, 1 + random.nextInt(job ? 16 : 40));
            declare(job ? ResourceKind.JOB : ResourceKind.BATCH, size, false);
            left -= size;
        }
    }

    private void declare(ResourceKind kind, int count, boolean urgent) {
        boolean accelerated = kind != ResourceKind.SERVICE && random.nextInt(20) == 0;
        Capacity size =
                new Capacity(500L + 250 * random.nextInt(8), 1_024L + 512 * random.nextInt(12), accelerated ? 1 : 0);
        cell.declare("org-" + random.nextInt(ORGANISATIONS), kind, name(), size, count, urgent);
    }

    private String name() {
        nextName++;
        return "work-" + nextName;
    }

    private void cancelWave() {
        List<DeclaredResource> finite = cell.state().resources().stream()
                .filter(resource -> !resource.kind().runsForever())
                .toList();
        finite.stream()
                .filter(resource -> random.nextInt(20) == 0)
                .forEach(resource -> cell.delete(
                        resource.organisation().name(), resource.kind().messageKind(), resource.name()));
    }

    private void loseWorkers(java.util.function.Predicate<Worker> lost) {
        cell.state().workers().stream()
                .filter(lost)
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
            int bound = plan.bindings().stream()
                    .mapToInt(BindTasks::getBindingsCount)
                    .sum();
            plan.preemptions().forEach(cell::preempt);
            if (bound == 0) {
                break;
            }
            decisionNanos.recordValueWithCount(Math.min(MAX_NANOS, tookNanos / bound), bound);
            plan.bindings().forEach(this::start);
        }
        check();
    }

    private void start(BindTasks bindings) {
        if (!cell.bind(bindings)) {
            return;
        }
        for (Binding binding : bindings.getBindingsList()) {
            Task task = cell.state().task(binding.getTask()).orElseThrow();
            waits.get(work(task.owner()))
                    .recordValue(Math.min(MAX_WAIT_MILLIS, cell.nowMillis() - task.pendingSinceMillis()));
            long startMillis = cell.nowMillis() + START_MILLIS;
            if (bad(task.worker())) {
                due.add(new Due(startMillis, task, task.epoch(), TaskPhase.FAILED));
                startsLost.merge(task.worker().id().name(), 1, Integer::sum);
                continue;
            }
            due.add(new Due(startMillis, task, task.epoch(), TaskPhase.RUNNING));
            if (!task.owner().kind().runsForever()) {
                due.add(new Due(startMillis + runMillis(), task, task.epoch(), TaskPhase.SUCCEEDED));
            }
        }
    }

    /** Run times that keep about the wanted number of tasks running, with a long tail. */
    private long runMillis() {
        double mean = 800.0 * tasks / startsPerSecond;
        return (long) Math.min(50 * mean, -mean * Math.log(1 - random.nextDouble()));
    }

    private void endTasks() {
        while (!due.isEmpty() && due.peek().atMillis() <= cell.nowMillis()) {
            Due next = due.poll();
            boolean current =
                    next.task().epoch() == next.epoch() && next.task().state().holdsCapacity();
            if (current) {
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

    private void check() {
        overcommitted += cell.state().workers().stream()
                .filter(worker -> !worker.committed().fitsIn(worker.size()))
                .count();
        halfStarted += cell.state().pendingResources().stream()
                .filter(resource -> resource.kind().allAtOnce())
                .filter(job -> job.count(TaskState.BOUND) + job.count(TaskState.RUNNING) > 0)
                .filter(job -> job.count(TaskState.STOPPING) == 0)
                .count();
    }

    private static Work work(DeclaredResource resource) {
        if (resource.spec().getUrgent()) {
            return Work.URGENT;
        }
        return Work.valueOf(resource.kind().name());
    }

    private static boolean bad(Worker worker) {
        String name = worker.id().name();
        int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
        return number % BAD_WORKER_EVERY == BAD_WORKER_EVERY / 2 || number == 1;
    }
}
