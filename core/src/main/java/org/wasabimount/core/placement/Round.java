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

/** One round of placement: the organisations' shares and the workers' room while it is planned. */
final class Round {

    private static final int CHUNK_TASKS = 16;

    /** How long a job waits for workers that have proved themselves, in milliseconds. */
    private static final long PROVEN_ONLY_MILLIS = 2_000;

    private final Scheduler scheduler;
    private final CellState state;
    private final List<WorkerView> views;
    private final long nowMillis;
    private final List<BindTasks> bindings = new ArrayList<>();
    private final List<PreemptTasks> preemptions = new ArrayList<>();
    private final Map<OrganisationAccount, Capacity> used = new HashMap<>();
    private final Map<DeclaredResource, Integer> plannedCount = new HashMap<>();
    private final List<Capacity> noRoomFor = new ArrayList<>();
    private final OpenedRoom opened;
    private int tasksLeft;

    /** How a try to place tasks of one resource ended. */
    private enum Result {
        /** All that were tried are placed. */
        PLACED,
        /** There is no worker with room. */
        NO_ROOM,
        /** The best worker starts enough tasks already. */
        HELD,
        /** The organisation's quota is used up. */
        OVER_QUOTA,
        /** No task may start now. */
        NOTHING
    }

    Round(Scheduler scheduler, CellState state, List<WorkerView> views, long nowMillis, int maxTasks) {
        this.scheduler = scheduler;
        this.state = state;
        this.views = views;
        this.nowMillis = nowMillis;
        this.tasksLeft = maxTasks;
        this.opened = OpenedRoom.of(state, views);
    }

    PlacementPlan plan() {
        for (Urgency urgency : Urgency.values()) {
            place(urgency);
        }
        return new PlacementPlan(bindings, preemptions);
    }

    private void place(Urgency urgency) {
        noRoomFor.clear();
        Map<OrganisationAccount, List<DeclaredResource>> queues = new LinkedHashMap<>();
        state.pendingResources().stream()
                .filter(resource -> Urgency.of(resource) == urgency)
                .filter(resource ->
                        urgency != Urgency.PATIENT || scheduler.delays().due(resource, nowMillis))
                .forEach(resource -> queues.computeIfAbsent(resource.account(), absent -> new ArrayList<>())
                        .add(resource));
        PriorityQueue<Candidate> order = new PriorityQueue<>(Comparator.comparingDouble(Candidate::share)
                .thenComparing(candidate -> candidate.account().id()));
        queues.forEach((account, queue) -> order.add(new Candidate(account, share(account), queue, 0)));
        while (!order.isEmpty() && tasksLeft > 0) {
            Candidate next = order.poll();
            Result result = placeSome(next.resource(), urgency);
            boolean more = result == Result.PLACED && !next.resource().kind().allAtOnce();
            Candidate following = more ? next : next.skip();
            if (following.present()) {
                order.add(following.withShare(share(next.account())));
            }
        }
    }

    private Result placeSome(DeclaredResource resource, Urgency urgency) {
        boolean together = resource.kind().allAtOnce();
        List<Task> tasks = resource.startableTasks(nowMillis)
                .skip(plannedCount.getOrDefault(resource, 0))
                .limit(together ? Integer.MAX_VALUE : Math.min(CHUNK_TASKS, tasksLeft))
                .toList();
        if (tasks.isEmpty() || together && tasks.size() != resource.tasks().size()) {
            return Result.NOTHING;
        }
        Result result = together ? placeJob(resource, tasks, urgency) : placeEach(resource, tasks, urgency);
        switch (result) {
            case PLACED -> scheduler.delays().placed(resource);
            case HELD -> scheduler.delays().held(resource, nowMillis);
            case NO_ROOM -> noRoom(resource, urgency);
            default -> scheduler.delays().failed(resource, nowMillis);
        }
        return result;
    }

    private void noRoom(DeclaredResource resource, Urgency urgency) {
        scheduler.delays().failed(resource, nowMillis);
        if (resource.kind().allAtOnce()) {
            scheduler.reserveIfDue(resource, views, nowMillis);
        } else {
            noRoomFor.add(resource.taskSize());
        }
        if (urgency != Urgency.PATIENT && scheduler.preemption().due(resource, nowMillis)) {
            preemptions.addAll(scheduler.preemption().plan(resource, views, nowMillis));
        }
    }

    private Result placeEach(DeclaredResource resource, List<Task> tasks, Urgency urgency) {
        if (noRoomFor.stream().anyMatch(size -> size.fitsIn(resource.taskSize()))) {
            return Result.NO_ROOM;
        }
        boolean patient = urgency == Urgency.PATIENT;
        boolean holds = patient && scheduler.delays().mayBeHeld(resource, nowMillis);
        WorkerView view = null;
        Spread spread = Spread.of(resource);
        List<Binding> planned = new ArrayList<>();
        Result result = Result.PLACED;
        for (Task task : tasks) {
            if (!withinQuota(resource, 1)) {
                result = Result.OVER_QUOTA;
                break;
            }
            // A worker that was best stays so while it fills up.
            if (!patient || view == null || !view.hasStart() || !view.hasRoom(resource.taskSize())) {
                boolean avoidEmpty = holds && opened.enough();
                view = scheduler.choose(resource, spread, urgency, avoidEmpty, false);
                if (view == null && avoidEmpty && hasOpenedRoom(resource.taskSize())) {
                    result = Result.HELD;
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
            take(resource, view);
            spread.add(view.worker());
            planned.add(binding(resource, task, view.worker()));
        }
        commit(resource, planned);
        return result;
    }

    /** Tells whether a worker in use has room, and only starts too many tasks already. */
    private boolean hasOpenedRoom(Capacity size) {
        return views.stream().anyMatch(view -> !view.empty() && !view.reserved() && view.hasRoom(size));
    }

    private Result placeJob(DeclaredResource job, List<Task> tasks, Urgency urgency) {
        if (!withinQuota(job, tasks.size())) {
            return Result.OVER_QUOTA;
        }
        boolean holder = scheduler.holdsReservation(job);
        if (holder) {
            reserve(false);
        }
        // Workers that never ended a task well get few tasks of a job, unless it has waited for proven ones.
        boolean bold = nowMillis - tasks.get(0).pendingSinceMillis() >= PROVEN_ONLY_MILLIS;
        long places = 0;
        for (int index = 0; index < views.size() && places < tasks.size(); index++) {
            places += views.get(index).places(job.taskSize(), tasks.size(), bold);
        }
        Result result = places < tasks.size() ? Result.NO_ROOM : placeWhole(job, tasks, urgency, bold);
        if (holder && result != Result.PLACED) {
            reserve(true);
        }
        return result;
    }

    private Result placeWhole(DeclaredResource job, List<Task> tasks, Urgency urgency, boolean bold) {
        Spread spread = Spread.of(job);
        List<WorkerView> taken = new ArrayList<>();
        List<Binding> planned = new ArrayList<>();
        for (Task task : tasks) {
            WorkerView view = scheduler.choose(job, spread, urgency, false, bold);
            if (view == null) {
                taken.forEach(given -> giveBack(job, given));
                return Result.NO_ROOM;
            }
            take(job, view);
            taken.add(view);
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

    private void reserve(boolean reserved) {
        views.stream().filter(view -> scheduler.reserved(view.worker())).forEach(view -> view.reserve(reserved));
    }

    private void take(DeclaredResource resource, WorkerView view) {
        opened.place(view, resource.taskSize());
        view.take(resource.taskSize());
        used.put(resource.account(), used(resource.account()).plus(resource.taskSize()));
    }

    private void giveBack(DeclaredResource resource, WorkerView view) {
        view.giveBack(resource.taskSize());
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

    private double share(OrganisationAccount account) {
        return used(account).dominantShare(scheduler.whole()) / account.weight();
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

    /** An organisation's next waiting resource. */
    private record Candidate(OrganisationAccount account, double share, List<DeclaredResource> queue, int position) {

        DeclaredResource resource() {
            return queue.get(position);
        }

        boolean present() {
            return position < queue.size();
        }

        Candidate skip() {
            return new Candidate(account, share, queue, position + 1);
        }

        Candidate withShare(double newShare) {
            return new Candidate(account, newShare, queue, position);
        }
    }
}
