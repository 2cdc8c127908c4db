package org.wasabimount.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.core.cell.Task;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.Binding;

/**
 * Plans which waiting tasks start where.
 *
 * <p>Urgent work goes first, then services, then batches and jobs; within each, the organisation with the smallest
 * dominant share for its weight. A job is planned whole or not at all.
 */
public final class Scheduler {

    /** How long a job waits before workers are kept free for it, in milliseconds. */
    static final long RESERVE_AFTER_MILLIS = 10_000;

    private static final int CHUNK_TASKS = 16;

    private final PlacementPolicy policy;
    private final Random random;
    private final Map<Worker, WorkerView> viewByWorker = new LinkedHashMap<>();
    private JobReservation reservation;

    /**
     * Creates a scheduler.
     *
     * @param policy how a worker is chosen
     * @param seed seed of the policy's random choices
     */
    public Scheduler(PlacementPolicy policy, long seed) {
        this.policy = policy;
        this.random = new Random(seed);
    }

    /**
     * Plans one round.
     *
     * @param state the cell's state, which is not changed
     * @param nowMillis wall time in milliseconds
     * @param maxTasks about how many tasks to bind at most; a job may exceed it
     * @return commands, each of which starts wholly or not at all
     */
    public List<BindTasks> plan(CellState state, long nowMillis, int maxTasks) {
        if (state.waiting().isEmpty()) {
            return List.of();
        }
        Round round = new Round(state, nowMillis, maxTasks);
        for (Urgency urgency : Urgency.values()) {
            round.place(urgency);
        }
        return round.commands;
    }

    /**
     * Says why a resource's tasks wait.
     *
     * @param state the cell's state
     * @param resource the resource
     * @param nowMillis wall time in milliseconds
     * @return one sentence, or nothing if no task waits
     */
    public Optional<String> explain(CellState state, DeclaredResource resource, long nowMillis) {
        if (resource.count(TaskState.PENDING) == 0) {
            return Optional.empty();
        }
        if (resource.startable(nowMillis).findAny().isEmpty()) {
            return Optional.of("its tasks wait before the next try, because earlier ones failed");
        }
        Capacity need = demandAtOnce(resource);
        OrganisationAccount account = resource.account();
        if (!account.used().plus(need).fitsIn(account.quota())) {
            return Optional.of("the organisation's quota is used up");
        }
        long fitting = state.workers().stream()
                .filter(worker -> resource.taskSize().fitsIn(worker.size()))
                .count();
        if (fitting == 0) {
            return Optional.of("no worker is large enough for one task");
        }
        return Optional.of("none of the " + fitting + " workers that are large enough has room now");
    }

    private static Capacity demandAtOnce(DeclaredResource resource) {
        int tasks = resource.kind().allAtOnce() ? resource.tasks().size() : 1;
        return resource.taskSize().times(tasks);
    }

    private void refreshViews(CellState state, long nowMillis) {
        if (viewByWorker.size() != state.workers().size()
                || !viewByWorker.keySet().containsAll(state.workers())) {
            viewByWorker.clear();
            state.workers().forEach(worker -> viewByWorker.put(worker, new WorkerView(worker)));
        }
        viewByWorker.forEach(
                (worker, view) -> view.refresh(nowMillis, reservation != null && reservation.covers(worker)));
    }

    /** The organisations' shares and the workers' room while one round is planned. */
    private final class Round {

        private final CellState state;
        private final long nowMillis;
        private final List<BindTasks> commands = new ArrayList<>();
        private final List<WorkerView> views;
        private final Map<OrganisationAccount, Capacity> used = new HashMap<>();
        private final List<Capacity> unplaceable = new ArrayList<>();
        private final Capacity whole;
        private final Map<DeclaredResource, Integer> plannedCount = new HashMap<>();
        private int tasksLeft;

        Round(CellState state, long nowMillis, int maxTasks) {
            this.state = state;
            this.nowMillis = nowMillis;
            this.tasksLeft = maxTasks;
            dropStaleReservation();
            refreshViews(state, nowMillis);
            this.views = List.copyOf(viewByWorker.values());
            this.whole = state.workers().stream().map(Worker::size).reduce(Capacity.NONE, Capacity::plus);
        }

        private void dropStaleReservation() {
            if (reservation == null) {
                return;
            }
            DeclaredResource job = reservation.job();
            OrganisationAccount account = job.account();
            boolean inQuota = account.used().plus(demandAtOnce(job)).fitsIn(account.quota());
            if (!inQuota || !state.waiting().contains(job)) {
                reservation = null;
            }
        }

        void place(Urgency urgency) {
            unplaceable.clear();
            Map<OrganisationAccount, List<DeclaredResource>> queues = new LinkedHashMap<>();
            state.waiting().stream()
                    .filter(resource -> Urgency.of(resource) == urgency)
                    .forEach(resource -> queues.computeIfAbsent(resource.account(), absent -> new ArrayList<>())
                            .add(resource));
            PriorityQueue<Candidate> order = new PriorityQueue<>(Comparator.comparingDouble(Candidate::share)
                    .thenComparing(candidate -> candidate.account().id()));
            queues.forEach((account, queue) -> order.add(new Candidate(account, share(account), queue, 0)));
            while (!order.isEmpty() && tasksLeft > 0) {
                Candidate next = order.poll();
                boolean more = placeSome(next.resource());
                Candidate following = more ? next : next.skip();
                if (following.present()) {
                    order.add(following.withShare(share(next.account())));
                }
            }
        }

        /** Places some tasks of a resource; returns whether more of it can be tried in this round. */
        private boolean placeSome(DeclaredResource resource) {
            boolean hopeless = unplaceable.stream().anyMatch(size -> size.fitsIn(resource.taskSize()));
            boolean together = resource.kind().allAtOnce();
            if (hopeless && !together) {
                return false;
            }
            List<Task> tasks = resource.startable(nowMillis)
                    .skip(plannedCount.getOrDefault(resource, 0))
                    .limit(together ? Integer.MAX_VALUE : Math.min(CHUNK_TASKS, tasksLeft))
                    .toList();
            if (tasks.isEmpty() || together && tasks.size() != resource.tasks().size()) {
                return false;
            }
            boolean holder = reservation != null && reservation.job() == resource;
            if (holder) {
                reserve(false);
            }
            List<Binding> bindings = bind(resource, tasks);
            if (holder && bindings.isEmpty()) {
                reserve(true);
            }
            boolean complete = bindings.size() == tasks.size();
            if (!complete) {
                noteUnplaceable(resource);
            }
            if (!bindings.isEmpty()) {
                commands.add(BindTasks.newBuilder().addAllBindings(bindings).build());
                tasksLeft -= bindings.size();
                plannedCount.merge(resource, bindings.size(), Integer::sum);
            }
            return complete && !together;
        }

        private void reserve(boolean reserved) {
            views.stream().filter(view -> reservation.covers(view.worker())).forEach(view -> view.reserve(reserved));
        }

        private void noteUnplaceable(DeclaredResource resource) {
            if (!resource.kind().allAtOnce()) {
                unplaceable.add(resource.taskSize());
                return;
            }
            long waitedMillis = nowMillis - resource.tasks().get(0).pendingSinceMillis();
            boolean inQuota = used(resource.account())
                    .plus(demandAtOnce(resource))
                    .fitsIn(resource.account().quota());
            if (reservation == null && inQuota && waitedMillis >= RESERVE_AFTER_MILLIS) {
                reservation = JobReservation.plan(resource, views).orElse(null);
            }
        }

        private List<Binding> bind(DeclaredResource resource, List<Task> tasks) {
            Spread spread = Spread.of(resource);
            List<Binding> bindings = new ArrayList<>();
            List<WorkerView> taken = new ArrayList<>();
            for (Task task : tasks) {
                WorkerView view = withinQuota(resource) ? policy.choose(views, resource, spread, random) : null;
                if (view == null) {
                    break;
                }
                view.take(resource.taskSize());
                charge(resource, 1);
                spread.add(view.worker());
                taken.add(view);
                bindings.add(binding(resource, task, view.worker()));
            }
            if (resource.kind().allAtOnce() && bindings.size() < tasks.size()) {
                taken.forEach(view -> view.giveBack(resource.taskSize()));
                charge(resource, -taken.size());
                bindings.clear();
            }
            return bindings;
        }

        private boolean withinQuota(DeclaredResource resource) {
            return used(resource.account())
                    .plus(resource.taskSize())
                    .fitsIn(resource.account().quota());
        }

        private void charge(DeclaredResource resource, int tasks) {
            used.put(
                    resource.account(),
                    used(resource.account()).plus(resource.taskSize().times(tasks)));
        }

        private Capacity used(OrganisationAccount account) {
            return used.getOrDefault(account, account.used());
        }

        private double share(OrganisationAccount account) {
            return used(account).dominantShare(whole) / account.weight();
        }

        private Binding binding(DeclaredResource resource, Task task, Worker worker) {
            return Binding.newBuilder()
                    .setOrganisation(resource.organisation().name())
                    .setKind(resource.kind().message())
                    .setName(resource.name())
                    .setTask(task.id())
                    .setWorker(worker.id().name())
                    .setIncarnation(worker.incarnation())
                    .build();
        }
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
