package org.wasabimount.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.core.cell.Task;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.Binding;
import org.wasabimount.protocol.cell.PreemptTasks;

/** Plans one placement round, tracking the organisations' usage and the workers' free capacity as tasks are placed. */
final class RoundPlanner {

    /** Most tasks of a resource that are placed before the organisations' shares are compared again. */
    private static final int CHUNK_TASKS = 16;

    /** Time that a job waits for workers on which a task has succeeded before it may also use the others. */
    private static final long PROVEN_ONLY_MILLIS = 2_000;

    private final Scheduler scheduler;
    private final CellState state;
    private final List<WorkerView> views;
    private final long nowMillis;
    private final List<BindTasks> bindings = new ArrayList<>();
    private final List<PreemptTasks> preemptions = new ArrayList<>();
    private final Map<OrganisationAccount, Capacity> used = new HashMap<>();
    private final Map<DeclaredResource, Integer> plannedCount = new HashMap<>();
    private final List<Capacity> sizesWithoutCapacity = new ArrayList<>();
    private final InUseCapacity inUseCapacity;
    private int tasksLeft;

    /** The result of an attempt to place tasks of one resource. */
    private enum Result {
        /** All tasks of the attempt were placed. */
        PLACED,
        /** No worker has enough free capacity. */
        NO_ROOM,
        /** A worker in use has free capacity, but has reached its start limit. */
        WAIT_FOR_START,
        /** The organisation's quota is used up. */
        OVER_QUOTA,
        /** No task may be started now. */
        NOT_STARTABLE
    }

    RoundPlanner(Scheduler scheduler, CellState state, List<WorkerView> views, long nowMillis, int maxTasks) {
        this.scheduler = scheduler;
        this.state = state;
        this.views = views;
        this.nowMillis = nowMillis;
        this.tasksLeft = maxTasks;
        this.inUseCapacity = InUseCapacity.of(state, views);
    }

    PlacementPlan plan() {
        for (Urgency urgency : Urgency.values()) {
            place(urgency);
        }
        return new PlacementPlan(bindings, preemptions);
    }

    private void place(Urgency urgency) {
        sizesWithoutCapacity.clear();
        Map<OrganisationAccount, List<DeclaredResource>> queues = new LinkedHashMap<>();
        state.pendingResources().stream()
                .filter(resource -> Urgency.of(resource) == urgency)
                .filter(resource ->
                        urgency != Urgency.DEFERRABLE || scheduler.backoff().isDue(resource, nowMillis))
                .forEach(resource -> queues.computeIfAbsent(resource.account(), absent -> new ArrayList<>())
                        .add(resource));
        PriorityQueue<Candidate> order = new PriorityQueue<>(Comparator.comparingDouble(Candidate::weightedShare)
                .thenComparing(candidate -> candidate.account().id()));
        queues.forEach((account, queue) -> order.add(new Candidate(account, weightedShare(account), queue, 0)));
        while (!order.isEmpty() && tasksLeft > 0) {
            Candidate next = order.poll();
            Result result = placeNextTasks(next.resource(), urgency);
            boolean hasMoreTasks =
                    result == Result.PLACED && !next.resource().kind().allAtOnce();
            Candidate nextCandidate = hasMoreTasks ? next : next.skip();
            if (nextCandidate.hasResource()) {
                order.add(nextCandidate.withShare(weightedShare(next.account())));
            }
        }
    }

    private Result placeNextTasks(DeclaredResource resource, Urgency urgency) {
        boolean atomic = resource.kind().allAtOnce();
        List<Task> tasks = resource.startableTasks(nowMillis)
                .skip(plannedCount.getOrDefault(resource, 0))
                .limit(atomic ? Integer.MAX_VALUE : Math.min(CHUNK_TASKS, tasksLeft))
                .toList();
        if (tasks.isEmpty() || atomic && tasks.size() != resource.tasks().size()) {
            return Result.NOT_STARTABLE;
        }
        Result result = atomic ? placeJob(resource, tasks, urgency) : placeIndependentTasks(resource, tasks, urgency);
        switch (result) {
            case PLACED -> scheduler.backoff().recordPlacement(resource);
            case WAIT_FOR_START -> scheduler.backoff().recordWaitForStart(resource, nowMillis);
            case NO_ROOM -> handleNoCapacity(resource, urgency);
            default -> scheduler.backoff().recordFailure(resource, nowMillis);
        }
        return result;
    }

    private void handleNoCapacity(DeclaredResource resource, Urgency urgency) {
        scheduler.backoff().recordFailure(resource, nowMillis);
        if (resource.kind().allAtOnce()) {
            scheduler.reserveIfDue(resource, views, nowMillis);
        } else {
            sizesWithoutCapacity.add(resource.taskSize());
        }
        if (urgency != Urgency.DEFERRABLE && scheduler.preemption().isDue(resource, nowMillis)) {
            preemptions.addAll(scheduler.preemption().plan(resource, views, nowMillis));
        }
    }

    private Result placeIndependentTasks(DeclaredResource resource, List<Task> tasks, Urgency urgency) {
        if (sizesWithoutCapacity.stream().anyMatch(size -> size.fitsIn(resource.taskSize()))) {
            return Result.NO_ROOM;
        }
        boolean deferrable = urgency == Urgency.DEFERRABLE;
        boolean waitAllowed = deferrable && scheduler.backoff().mayWaitForStart(resource, nowMillis);
        WorkerView view = null;
        Spread spread = Spread.of(resource);
        List<Binding> planned = new ArrayList<>();
        Result result = Result.PLACED;
        for (Task task : tasks) {
            if (!withinQuota(resource, 1)) {
                result = Result.OVER_QUOTA;
                break;
            }
            // The best worker stays the best while it fills up, so it is kept while it has capacity.
            if (!deferrable || view == null || !view.canStart() || !view.hasCapacityFor(resource.taskSize())) {
                boolean avoidEmpty = waitAllowed && inUseCapacity.coversDemand();
                view = scheduler.choose(resource, spread, urgency, avoidEmpty, false);
                if (view == null && avoidEmpty && hasCapacityInUse(resource.taskSize())) {
                    result = Result.WAIT_FOR_START;
                    break;
                }
                if (view == null && avoidEmpty) {
                    view = scheduler.choose(resource, spread, urgency, false, false);
                }
            }
            if (view == null) {
                result = Result.NO_ROOM;
                break;
            }
            allocate(resource, view);
            spread.add(view.worker());
            planned.add(binding(resource, task, view.worker()));
        }
        commit(resource, planned);
        return result;
    }

    /** Returns whether a worker in use has free capacity, so that only its start limit prevents a placement. */
    private boolean hasCapacityInUse(Capacity size) {
        return views.stream().anyMatch(view -> !view.empty() && !view.reserved() && view.hasCapacityFor(size));
    }

    private Result placeJob(DeclaredResource job, List<Task> tasks, Urgency urgency) {
        if (!withinQuota(job, tasks.size())) {
            return Result.OVER_QUOTA;
        }
        boolean hasReservation = scheduler.ownsReservation(job);
        if (hasReservation) {
            setReserved(false);
        }
        // A worker on which no task has succeeded gets few tasks of a job, unless the job has waited for proven ones.
        boolean allowUnproven = nowMillis - tasks.get(0).pendingSinceMillis() >= PROVEN_ONLY_MILLIS;
        long taskSlots = 0;
        for (int index = 0; index < views.size() && taskSlots < tasks.size(); index++) {
            taskSlots += views.get(index).taskSlots(job.taskSize(), tasks.size(), allowUnproven);
        }
        Result result = taskSlots < tasks.size() ? Result.NO_ROOM : placeWholeJob(job, tasks, urgency, allowUnproven);
        if (hasReservation && result != Result.PLACED) {
            setReserved(true);
        }
        return result;
    }

    private Result placeWholeJob(DeclaredResource job, List<Task> tasks, Urgency urgency, boolean allowUnproven) {
        Spread spread = Spread.of(job);
        List<WorkerView> allocatedViews = new ArrayList<>();
        List<Binding> planned = new ArrayList<>();
        for (Task task : tasks) {
            WorkerView view = scheduler.choose(job, spread, urgency, false, allowUnproven);
            if (view == null) {
                allocatedViews.forEach(allocatedView -> release(job, allocatedView));
                return Result.NO_ROOM;
            }
            allocate(job, view);
            allocatedViews.add(view);
            planned.add(binding(job, task, view.worker()));
        }
        commit(job, planned);
        return Result.PLACED;
    }

    private void commit(DeclaredResource resource, List<Binding> planned) {
        if (!planned.isEmpty()) {
            bindings.add(BindTasks.newBuilder().addAllBindings(planned).build());
            tasksLeft -= planned.size();
            plannedCount.merge(resource, planned.size(), Integer::sum);
        }
    }

    private void setReserved(boolean reserved) {
        views.stream().filter(view -> scheduler.reserved(view.worker())).forEach(view -> view.setReserved(reserved));
    }

    private void allocate(DeclaredResource resource, WorkerView view) {
        inUseCapacity.place(view, resource.taskSize());
        view.allocate(resource.taskSize());
        used.put(resource.account(), used(resource.account()).plus(resource.taskSize()));
    }

    private void release(DeclaredResource resource, WorkerView view) {
        view.release(resource.taskSize());
        used.put(resource.account(), used(resource.account()).minus(resource.taskSize()));
    }

    private boolean withinQuota(DeclaredResource resource, int tasks) {
        return used(resource.account())
                .plus(resource.taskSize().times(tasks))
                .fitsIn(resource.account().quota());
    }

    private Capacity used(OrganisationAccount account) {
        return used.getOrDefault(account, account.used());
    }

    private double weightedShare(OrganisationAccount account) {
        return used(account).dominantShare(scheduler.totalCapacity()) / account.weight();
    }

    private static Binding binding(DeclaredResource resource, Task task, Worker worker) {
        return Binding.newBuilder()
                .setOrganisation(resource.organisation().name())
                .setKind(resource.kind().messageKind())
                .setName(resource.name())
                .setTask(task.id())
                .setWorker(worker.id().name())
                .setIncarnation(worker.incarnation())
                .build();
    }

    /** An organisation's next waiting resource, with the organisation's share relative to its weight. */
    private record Candidate(
            OrganisationAccount account, double weightedShare, List<DeclaredResource> queue, int position) {

        DeclaredResource resource() {
            return queue.get(position);
        }

        boolean hasResource() {
            return position < queue.size();
        }

        Candidate skip() {
            return new Candidate(account, weightedShare, queue, position + 1);
        }

        Candidate withShare(double newShare) {
            return new Candidate(account, newShare, queue, position);
        }
    }
}
