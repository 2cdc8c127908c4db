package org.wasabimount.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.Worker;

/**
 * Plans which waiting tasks are bound to which workers.
 *
 * <p>Urgent work is placed first, then services, then batches and jobs; within each of these, the organisation with the
 * smallest dominant share relative to its weight comes first. A job is placed completely or not at all.
 */
public final class Scheduler {

    /** Time that a job waits before workers are reserved for it. */
    static final long RESERVE_AFTER_MILLIS = 10_000;

    private final PlacementPolicy policy;
    private final Random random;
    private final PlacementBackoff backoff = new PlacementBackoff();
    private final Preemption preemption = new Preemption();
    private final ReservationTerms reservationTerms = new ReservationTerms();
    private CellState viewedState;
    private long viewedFleetVersion;
    private List<WorkerView> views = List.of();
    private Capacity totalCapacity = Capacity.NONE;
    private JobReservation reservation;
    private long reservationEndMillis;

    /**
     * Creates a scheduler.
     *
     * @param policy the policy for choosing a worker
     * @param seed the seed for the policy's random choices
     */
    public Scheduler(PlacementPolicy policy, long seed) {
        this.policy = policy;
        this.random = new Random(seed);
    }

    /**
     * Plans one placement round.
     *
     * @param state the cell's state, which is not changed
     * @param nowMillis wall time in milliseconds
     * @param maxTasks approximate maximum number of tasks to bind; a job may exceed it
     * @return the decisions
     */
    public PlacementPlan plan(CellState state, long nowMillis, int maxTasks) {
        backoff.retainOnly(state.pendingResources());
        reservationTerms.retainOnly(state.pendingResources());
        if (state.pendingResources().isEmpty()) {
            return PlacementPlan.EMPTY;
        }
        dropStaleReservation(state, nowMillis);
        refreshViews(state, nowMillis);
        return new RoundPlanner(this, state, views, nowMillis, maxTasks).plan();
    }

    /**
     * Returns the reason why a resource's tasks are waiting.
     *
     * @param state the cell's state
     * @param resource the resource
     * @param nowMillis wall time in milliseconds
     * @return the reason as a sentence, or empty if no task is waiting
     */
    public Optional<String> explain(CellState state, DeclaredResource resource, long nowMillis) {
        if (resource.count(TaskState.PENDING) == 0) {
            return Optional.empty();
        }
        if (resource.startableTasks(nowMillis).findAny().isEmpty()) {
            return Optional.of("tasks are waiting to be retried after a failure");
        }
        OrganisationAccount account = resource.account();
        if (!account.used().plus(minimumDemand(resource)).fitsIn(account.quota())) {
            return Optional.of("the organisation's quota is used up");
        }
        long largeEnoughWorkers = state.workers().stream()
                .filter(worker -> resource.taskSize().fitsIn(worker.size()))
                .count();
        if (largeEnoughWorkers == 0) {
            return Optional.of("no worker is large enough for one task");
        }
        long acceptingWorkers = state.workers().stream()
                .filter(worker -> resource.taskSize().fitsIn(worker.size()))
                .filter(worker -> worker.acceptsTasks(nowMillis))
                .count();
        return Optional.of(
                acceptingWorkers == 0
                        ? "all " + largeEnoughWorkers
                                + " workers that are large enough are lost, leaving or in quarantine"
                        : "none of the " + acceptingWorkers + " workers that are large enough has free capacity now");
    }

    /** Returns the total capacity of all workers. */
    Capacity totalCapacity() {
        return totalCapacity;
    }

    PlacementBackoff backoff() {
        return backoff;
    }

    Preemption preemption() {
        return preemption;
    }

    WorkerView choose(
            DeclaredResource resource, Spread spread, Urgency urgency, boolean avoidEmpty, boolean allowUnproven) {
        return policy.choose(
                views, resource, new PlacementPolicy.ChoiceContext(urgency, avoidEmpty, allowUnproven, spread, random));
    }

    boolean ownsReservation(DeclaredResource job) {
        return reservation != null && reservation.job() == job;
    }

    boolean reserved(Worker worker) {
        return reservation != null && reservation.includes(worker);
    }

    /** Reserves workers for a job that has waited long, unless another job has a reservation. */
    void reserveIfDue(DeclaredResource job, List<WorkerView> candidates, long nowMillis) {
        long waitedMillis = nowMillis - job.tasks().get(0).pendingSinceMillis();
        if (reservation == null
                && waitedMillis >= RESERVE_AFTER_MILLIS
                && reservationTerms.mayReserve(job, nowMillis)) {
            reservation = JobReservation.plan(job, candidates).orElse(null);
            reservationEndMillis = nowMillis + reservationTerms.nextTermMillis(job);
        }
    }

    private void dropStaleReservation(CellState state, long nowMillis) {
        if (reservation == null) {
            return;
        }
        DeclaredResource job = reservation.job();
        OrganisationAccount account = job.account();
        boolean inQuota = account.used().plus(minimumDemand(job)).fitsIn(account.quota());
        if (!inQuota || !state.pendingResources().contains(job) || !reservation.isFeasible(nowMillis)) {
            reservation = null;
        } else if (nowMillis >= reservationEndMillis) {
            reservationTerms.recordExpiry(job, nowMillis);
            reservation = null;
        }
    }

    /** Returns the smallest capacity that can be placed at once: the whole job, or one task of other work. */
    private static Capacity minimumDemand(DeclaredResource resource) {
        int tasks = resource.kind().allAtOnce() ? resource.tasks().size() : 1;
        return resource.taskSize().times(tasks);
    }

    private void refreshViews(CellState state, long nowMillis) {
        if (viewedState != state || viewedFleetVersion != state.fleetVersion()) {
            viewedState = state;
            viewedFleetVersion = state.fleetVersion();
            views = state.workers().stream().map(WorkerView::new).toList();
            totalCapacity = state.workers().stream().map(Worker::size).reduce(Capacity.NONE, Capacity::plus);
        }
        views.forEach(view -> view.refresh(nowMillis, reserved(view.worker())));
    }
}
