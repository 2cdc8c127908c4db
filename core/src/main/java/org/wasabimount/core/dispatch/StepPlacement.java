package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.quota.QuotaGate;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;

/**
 * Places the tasks of waiting steps, requests advice for them and reserves room for gangs.
 *
 * <p>Designed for hundreds of workers and hundreds of waiting steps at a load near the workers' capacity. A step is
 * considered when something has changed for it: it has become ready, an advice call has returned, room has become free
 * on a worker that it may use, or its time has come. The cost of a pass depends on what has changed since the last one,
 * not on the number of workers and waiting steps.
 */
final class StepPlacement {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /** Maximum number of steps to which free room on one worker is offered; the first of them usually take all of it. */
    private static final int MAX_OFFERS = 16;

    /** Maximum number of steps examined to find one that could ask for a worker with room. */
    private static final int MAX_OTHER_OFFERS = 8;

    /** Maximum number of workers compared for a step that may use all of them. */
    private static final int MAX_CANDIDATES = 24;

    /** Interval at which a waiting step is considered although nothing has changed for it, in milliseconds. */
    private static final long REVIEW_MILLIS = 1_000;

    /** As {@link #REVIEW_MILLIS}, for steps of the most urgent priority; a part of their objective. */
    private static final long URGENT_REVIEW_MILLIS = 250;

    /** Shortest interval at which a reservation is reviewed, in milliseconds. */
    private static final long MIN_RESERVATION_REVIEW_MILLIS = 20;

    /** Longest interval at which a reservation is reviewed, in milliseconds: estimates of run ends change meanwhile. */
    private static final long MAX_RESERVATION_REVIEW_MILLIS = 200;

    /** Time after which a gang is considered that has been offered room, in milliseconds; other rooms follow meanwhile. */
    private static final long OFFER_REVIEW_MILLIS = 150;

    /** As {@link #OFFER_REVIEW_MILLIS}, for gangs of the most urgent priority. */
    private static final long URGENT_OFFER_REVIEW_MILLIS = 50;

    /** Time before the expected return of a call at which the room may be complete, in milliseconds. */
    static final long CALL_LEAD_MILLIS = 50;

    /** Interval at which workers are examined that are not usable for some time, in milliseconds. */
    private static final long UNUSABLE_CHECK_MILLIS = 200;

    /**
     * Share of a pool's processors that gangs with a reservation may need together. A larger share leaves processors idle
     * under overload, when room comes together slowly.
     */
    private static final double MAX_RESERVED_SHARE = 0.12;

    /** Share of a pool's processors that must stay free and not reserved for reservations beyond the limit. */
    private static final double MIN_FREE_SHARE = 0.35;

    /** Number of gangs that may have a reservation whatever they need. */
    private static final int FIRST_RESERVATIONS = 2;

    /**
     * How long a gang waits for room on the rack where it works fastest, in milliseconds; most gangs have had a call for
     * advice by then.
     */
    private static final long RACK_PATIENCE_MILLIS = 1_500;

    /** Time within which the tasks of a gang are started after the decision, in milliseconds: a commit and the calls. */
    private static final long GANG_START_MILLIS = 250;

    /** Number of gangs, in scheduling order, for which calls may look for eligible workers. */
    private static final int MAX_ASKING_GANGS = 60;

    /** Number of gangs that are considered when a reservation has ended. */
    private static final int GANGS_AFTER_RESERVATION = 4;

    private final WorkerManager workers;
    private final AdviceManager advice;
    private final AdvicePlan advicePlan;
    private final WaitSampler waits;
    private final Consumer<DispatchAction> actions;
    private final Consumer<TaskId> proposed;
    private final ExaminedCounts examined;
    private final Comparator<WaitingStep> order;
    private final Placer placer;
    private final GangReservations reservations;
    private final IsolationLimits isolation;
    private final QuotaGate<WaitingStep> quota;

    private final Map<IncarnationId, WorkerRoom> rooms = new HashMap<>();
    private final Map<String, PoolRooms> pools = new HashMap<>();
    private final Set<WorkerRoom> unusable = new LinkedHashSet<>();
    private final Map<StepId, WaitingStep> steps = new HashMap<>();
    private final NavigableSet<WaitingStep> waiting;
    private final NavigableSet<WaitingStep> gangs;
    private final NavigableSet<WaitingStep> woken;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atMillis));
    private final Set<WorkerRoom> gained = new LinkedHashSet<>();
    private final Map<WaitingStep, PlaceRuns.Builder> placements = new LinkedHashMap<>();
    private int nextRoom;
    private Consumer<ReservationEnd> reservationEnded = cause -> {};
    private long unusableCheckMillis;
    private long nowMillis;

    private record Timer(long atMillis, WaitingStep step) {}

    StepPlacement(
            WorkerManager workers,
            AdviceManager advice,
            WaitSampler waits,
            SchedulingOrder schedulingOrder,
            Consumer<DispatchAction> actions,
            Consumer<TaskId> proposed,
            ExaminedCounts examined) {
        this.workers = workers;
        this.advice = advice;
        this.waits = waits;
        this.actions = actions;
        this.proposed = proposed;
        this.examined = examined;
        this.order = WaitingStep.comparator(schedulingOrder);
        this.placer = new Placer(examined);
        this.reservations = new GangReservations(this::update, examined);
        this.isolation = new IsolationLimits(rooms, examined);
        this.quota = new QuotaGate<>(
                workers.organisations(), order, items -> examined.add(ExaminedCounts.Part.READY, items));
        this.advicePlan = new AdvicePlan(advice, reservations, order, examined);
        this.waiting = new TreeSet<>(order);
        this.gangs = new TreeSet<>(order);
        this.woken = new TreeSet<>(order);
        advice.setStepListener(this::adviceCompleted);
    }

    /** Sets the listener for reservations, or their parts on one worker, that are given back before a start. */
    void setReservationListener(Consumer<ReservationEnd> listener) {
        reservationEnded = listener;
    }

    /** Sets the preference among workers that fit. */
    void prefer(WorkerPreference preference) {
        placer.prefer(preference);
    }

    Optional<WaitingStep> waitingStep(StepId id) {
        return Optional.ofNullable(steps.get(id));
    }

    Collection<WorkerRoom> rooms() {
        return rooms.values();
    }

    GangReservations reservations() {
        return reservations;
    }

    AdvicePlan advicePlan() {
        return advicePlan;
    }

    QuotaGate<WaitingStep> quota() {
        return quota;
    }

    /** Sets the time of the events that follow, as monotonic time in milliseconds. */
    void at(long millis) {
        nowMillis = millis;
    }

    /** Records that a step is ready and has waiting tasks, or that its waiting tasks or its queue have changed. */
    void ready(ReadyStep newer) {
        WaitingStep step = steps.computeIfAbsent(newer.id(), absent -> new WaitingStep(newer));
        ReadyStep ready = step.placeable(newer, nowMillis);
        boolean samePlace = step.listed()
                && step.ready().queue().equals(ready.queue())
                && step.ready().late() == ready.late()
                && step.ready().isolated() == ready.isolated()
                && step.ready().latestStartMillis() == ready.latestStartMillis();
        boolean moreTasks = ready.waiting().size() > step.ready().waiting().size();
        if (samePlace) {
            step.ready(ready);
        } else {
            delist(step);
            step.ready(ready);
            enlist(step);
        }
        if (step.listed() && (moreTasks || !samePlace)) {
            woken.add(step);
        }
    }

    /** Records that a step has no waiting tasks or is not ready. */
    void remove(StepId id) {
        WaitingStep step = steps.remove(id);
        if (step != null) {
            delist(step);
            step.eligibleRooms().clear();
        }
    }

    private void enlist(WaitingStep step) {
        if (quota.enter(step)) {
            list(step);
        }
        reviewAt(step, nowMillis + reviewIntervalMillis(step.ready()));
    }

    private void list(WaitingStep step) {
        step.listed(true);
        if (step.ready().requiresAdvice()) {
            addEligibleRooms(step);
        }
        index(step);
    }

    private void delist(WaitingStep step) {
        quota.leave(step);
        withdraw(step);
    }

    /** Removes a step from all searches: it asks for nothing, holds nothing and is offered nothing. */
    private void withdraw(WaitingStep step) {
        if (step.listed()) {
            releaseReservation(step);
            unindex(step);
            step.listed(false);
        }
    }

    private void parkExceeding() {
        quota.parkExceeding().forEach(step -> {
            withdraw(step);
            step.eligibleRooms().clear();
        });
    }

    private void index(WaitingStep step) {
        ReadyStep ready = step.ready();
        waiting.add(step);
        if (ready.reservesRoom()) {
            gangs.add(step);
        }
        if (ready.requiresAdvice()) {
            step.eligibleRooms().forEach(room -> room.eligibleSteps().add(step));
        } else {
            poolOf(ready).stepsWithoutAdvice().add(step);
        }
    }

    private void unindex(WaitingStep step) {
        waiting.remove(step);
        gangs.remove(step);
        woken.remove(step);
        advicePlan.remove(step);
        step.eligibleRooms().forEach(room -> room.eligibleSteps().remove(step));
        poolOf(step.ready()).stepsWithoutAdvice().remove(step);
    }

    private void addEligibleRooms(WaitingStep step) {
        Set<IncarnationId> eligible = advice.of(step.id()).eligible();
        examined.add(ExaminedCounts.Part.READY, eligible.size());
        eligible.stream().map(rooms::get).filter(room -> room != null).forEach(step.eligibleRooms()::add);
    }

    private static long reviewIntervalMillis(ReadyStep ready) {
        return ready.urgent() && !ready.late() ? URGENT_REVIEW_MILLIS : REVIEW_MILLIS;
    }

    private void adviceCompleted(StepId id) {
        WaitingStep step = steps.get(id);
        if (step == null || !step.listed()) {
            return;
        }
        addEligibleRooms(step);
        step.eligibleRooms().forEach(room -> room.eligibleSteps().add(step));
        woken.add(step);
    }

    private PoolRooms pool(String name) {
        return pools.computeIfAbsent(name, absent -> new PoolRooms(order));
    }

    /** Returns whether anything has changed since the last pass, or is due. */
    boolean passDue() {
        return !woken.isEmpty()
                || !gained.isEmpty()
                || workers.hasChangedWorkers()
                || advicePlan.callPossible(nowMillis)
                || quota.changed()
                || !timers.isEmpty() && timers.peek().atMillis <= nowMillis
                || !unusable.isEmpty() && nowMillis >= unusableCheckMillis
                || waits.due(nowMillis);
    }

    /** Places what can be placed after the changes since the last pass. */
    void pass() {
        examined.add(ExaminedCounts.Part.READY, 1);
        runTimers();
        updateRooms();
        parkExceeding();
        quota.takeFitting(nowMillis).forEach(step -> {
            list(step);
            woken.add(step);
        });
        List<WorkerRoom> offered = List.copyOf(gained);
        gained.clear();
        offered.forEach(this::offer);
        // Steps that are woken meanwhile wait for the next pass: two that wake each other must not keep the thread.
        List<WaitingStep> due = List.copyOf(woken);
        woken.clear();
        due.forEach(step -> {
            StepFailure.guard(step.id(), () -> consider(step));
            parkExceeding();
        });
        advicePlan.requestCalls(this::suitable, this::poolOf, nowMillis, actions);
        placements.forEach(this::propose);
        placements.clear();
        sample();
    }

    PoolRooms poolOf(ReadyStep step) {
        return pool(step.queue().getPool());
    }

    private void reviewAt(WaitingStep step, long millis) {
        if (step.reviewMillis() <= nowMillis || millis < step.reviewMillis()) {
            step.reviewAt(millis);
            timers.add(new Timer(millis, step));
        }
    }

    private void runTimers() {
        while (!timers.isEmpty() && timers.peek().atMillis <= nowMillis) {
            Timer timer = timers.poll();
            WaitingStep step = timer.step;
            if (!step.listed() && !quota.parked(step) || step.reviewMillis() != timer.atMillis) {
                continue;
            }
            examined.add(ExaminedCounts.Part.READY, 1);
            ReadyStep ready = step.ready();
            if (!ready.late() && nowMillis > ready.latestStartMillis()) {
                becomeLate(step);
            }
            if (step.listed()) {
                woken.add(step);
            }
            reviewAt(step, nowMillis + reviewIntervalMillis(step.ready()));
        }
    }

    /** Moves a step to its place in scheduling order after it has become late. */
    private void becomeLate(WaitingStep step) {
        if (step.listed()) {
            unindex(step);
            step.ready(step.ready().nowLate());
            index(step);
        } else {
            delist(step);
            step.ready(step.ready().nowLate());
            enlist(step);
        }
    }

    private void updateRooms() {
        workers.takeChangedWorkers().forEach(this::updateWorker);
        if (nowMillis >= unusableCheckMillis) {
            unusableCheckMillis = nowMillis + UNUSABLE_CHECK_MILLIS;
            examined.add(ExaminedCounts.Part.ROUND, unusable.size());
            List.copyOf(unusable).forEach(this::update);
        }
    }

    private void updateWorker(TrackedWorker worker) {
        examined.add(ExaminedCounts.Part.ROUND, 1);
        IncarnationId id = worker.entry().id();
        if (workers.trackedWorker(id).isEmpty()) {
            WorkerRoom removed = rooms.remove(id);
            if (removed != null) {
                removeRoom(removed);
            }
            return;
        }
        WorkerRoom room = rooms.get(id);
        if (room != null && room.worker() != workers.trackedWorker(id).orElseThrow()) {
            // The incarnation was given up and has announced itself again.
            rooms.remove(id);
            removeRoom(room);
        }
        update(rooms.computeIfAbsent(id, this::newRoom));
    }

    /** Creates the room of a worker, which steps may know already: it may have been given up as silent meanwhile. */
    private WorkerRoom newRoom(IncarnationId id) {
        WorkerRoom room = new WorkerRoom(workers.trackedWorker(id).orElseThrow(), nextRoom++, order);
        examined.add(ExaminedCounts.Part.ROUND, steps.size());
        steps.values().stream()
                .filter(step -> step.listed() && step.ready().requiresAdvice())
                .filter(step -> advice.eligible(step.id(), id))
                .forEach(step -> {
                    step.eligibleRooms().add(room);
                    room.eligibleSteps().add(step);
                });
        return room;
    }

    private void removeRoom(WorkerRoom room) {
        room.close();
        releaseReservationsIn(room);
        pools.values().forEach(pool -> pool.remove(room));
        unusable.remove(room);
        gained.remove(room);
        room.eligibleSteps().forEach(step -> step.eligibleRooms().remove(room));
    }

    /** Takes over a change of a room; offers it to waiting steps if it has gained free capacity. */
    private void update(WorkerRoom room) {
        boolean wasUsable = room.usable();
        Capacity freeBefore = room.free();
        room.refresh(nowMillis);
        pool(room.pool()).update(room);
        if (room.usable()) {
            unusable.remove(room);
        } else {
            unusable.add(room);
        }
        if (wasUsable && !room.usable() || !room.reservationsFit()) {
            releaseReservationsIn(room);
        }
        if (room.usable() && (!wasUsable || !room.free().fitsIn(freeBefore))) {
            gained.add(room);
        }
        if (room.usable() && !room.free().equals(freeBefore)) {
            woken.addAll(room.reservingGangs());
        }
    }

    private void releaseReservationsIn(WorkerRoom room) {
        ReservationEnd cause = room.usable() ? ReservationEnd.WORKER_SHRUNK : ReservationEnd.WORKER_UNUSABLE;
        room.reservingGangs().forEach(gang -> {
            reservationEnded.accept(cause);
            reservations.release(gang, room);
            woken.add(gang);
        });
    }

    /** Offers the free room on a worker to the first steps in scheduling order that may use it. */
    private void offer(WorkerRoom room) {
        NavigableSet<WaitingStep> others = pool(room.pool()).stepsWithoutAdvice();
        List<WaitingStep> first = Stream.concat(
                        room.eligibleSteps().stream().limit(MAX_OFFERS),
                        others.stream().limit(MAX_OFFERS))
                .sorted(order)
                .limit(MAX_OFFERS)
                .toList();
        Capacity claimed = Capacity.NONE;
        for (WaitingStep step : first) {
            examined.add(ExaminedCounts.Part.ROUND, 1);
            ReadyStep ready = step.ready();
            Capacity unclaimed = room.availableTo(ready, nowMillis).minus(claimed);
            boolean usable = room.usable()
                    && ready.size().fitsIn(unclaimed)
                    && quota.tasksFitting(step) > 0
                    && suitable(ready).test(room);
            if (!usable) {
                continue;
            }
            if (ready.reservesRoom()) {
                if (reservations.contains(step)
                        && reservations.improve(step, room, startsInMillis(ready, room, 0L), nowMillis)) {
                    woken.add(step);
                } else if (!advice.callInProgress(step.id())) {
                    reviewAt(step, nowMillis + (ready.urgent() ? URGENT_OFFER_REVIEW_MILLIS : OFFER_REVIEW_MILLIS));
                }
            } else if (!ready.requiresAdvice() || advice.of(step.id()).hasTicket(room.id(), nowMillis)) {
                choose(step, List.of(room));
            } else {
                advicePlan.add(step);
                long tasks = Math.min(
                        ready.first(quota.tasksFitting(step)).waiting().size(),
                        ready.size().timesIn(unclaimed));
                claimed = claimed.plus(ready.size().times(tasks));
            }
        }
        offerToOthers(room, claimed);
        parkExceeding();
    }

    /** Has calls made for the first steps that do not know yet whether they may use the rest of a room. */
    private void offerToOthers(WorkerRoom room, Capacity claimed) {
        Capacity rest = room.free().minus(claimed);
        waiting.stream()
                .limit(MAX_OTHER_OFFERS)
                .peek(step -> examined.add(ExaminedCounts.Part.ROUND, 1))
                .filter(step -> step.ready().requiresAdvice()
                        && !step.ready().reservesRoom()
                        && step.ready().size().fitsIn(rest)
                        && step.ready().queue().getPool().equals(room.pool())
                        && !advice.of(step.id()).callInProgress()
                        && !advice.of(step.id()).named(room.id()))
                .limit(1)
                .forEach(advicePlan::add);
    }

    private void consider(WaitingStep step) {
        ReadyStep ready = step.ready();
        if (!step.listed() || ready.waiting().isEmpty()) {
            return;
        }
        examined.add(ExaminedCounts.Part.ROUND, 1);
        if (ready.reservesRoom()) {
            considerGang(step);
        } else {
            considerTasks(step);
        }
        if (step.listed()
                && step.ready().isolated()
                && reservations.missingTasks(step) > 0
                && step.isolatedMillis(nowMillis) >= isolation.patienceMillis(step.ready(), poolOf(step.ready()))) {
            share(step);
        }
    }

    /** Lets the tasks of a step share their workers with others, because there are none that they could have alone. */
    private void share(WaitingStep step) {
        delist(step);
        step.share();
        step.ready(step.ready().shared());
        enlist(step);
        woken.add(step);
    }

    /** Returns whether a worker suits a step, regardless of advice and free capacity. */
    Predicate<WorkerRoom> suitable(ReadyStep step) {
        String label = step.step().getRequiredLabel();
        Set<IncarnationId> failedRecently = workers.failedRecently(step, nowMillis);
        return room -> room.worker().hasLabel(label) && !failedRecently.contains(room.id());
    }

    private void considerTasks(WaitingStep step) {
        ReadyStep ready = step.ready();
        boolean roomExists = ready.mayUseReservedRoom(nowMillis)
                || poolOf(ready).leastFreeFirst(ready.size()).findFirst().isPresent();
        if (roomExists) {
            choose(step, candidates(step));
        }
        boolean callMayHelp = roomExists || !advice.of(step.id()).answered();
        if (ready.requiresAdvice() && callMayHelp && !step.ready().waiting().isEmpty()) {
            advicePlan.add(step);
        }
    }

    List<WorkerRoom> candidates(WaitingStep step) {
        ReadyStep ready = step.ready();
        Predicate<WorkerRoom> possible =
                suitable(ready).and(room -> ready.size().fitsIn(room.availableTo(ready, nowMillis)));
        List<WorkerRoom> candidates;
        if (ready.requiresAdvice()) {
            AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
            examined.add(ExaminedCounts.Part.ROUND, step.eligibleRooms().size());
            candidates = step.eligibleRooms().stream()
                    .filter(room -> room.usable() && stepAdvice.hasTicket(room.id(), nowMillis))
                    .filter(possible)
                    .toList();
        } else {
            PoolRooms pool = poolOf(ready);
            Stream<WorkerRoom> reserved = ready.mayUseReservedRoom(nowMillis) ? pool.usable().stream() : Stream.empty();
            candidates = Stream.of(pool.onRack(ready.step().getDataRack()), placer.fitting(ready, pool), reserved)
                    .flatMap(found -> found)
                    .peek(room -> examined.add(ExaminedCounts.Part.ROUND, 1))
                    .filter(possible)
                    .distinct()
                    .limit(MAX_CANDIDATES)
                    .toList();
        }
        return candidates;
    }

    private void choose(WaitingStep step, List<WorkerRoom> candidates) {
        ReadyStep ready = step.ready().first(quota.tasksFitting(step));
        place(step, placer.choose(ready, candidates, domainsInUse(ready), nowMillis));
    }

    /** Returns the failure domains in which tasks of the step are running. */
    private Set<String> domainsInUse(ReadyStep step) {
        return step.job().tasks(step.id().occurrence(), step.id().step()).stream()
                .flatMap(task -> task.incarnation().stream())
                .map(rooms::get)
                .filter(room -> room != null)
                .map(room -> room.worker().domain())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private void considerGang(WaitingStep step) {
        ReadyStep ready = step.ready();
        if (ready.mayUseReservedRoom(nowMillis) && startInReservedRoom(step)) {
            return;
        }
        boolean held = reservations.contains(step);
        boolean reservable = held || mayReserve(ready);
        List<WorkerRoom> suitable = gangCandidates(step);
        List<WorkerRoom> preferred = GangRacks.preferred(step, suitable);
        boolean anyRack = step.waitedMillis(nowMillis) >= RACK_PATIENCE_MILLIS;
        boolean mayStart = !ready.isolated() || reservable;
        if (mayStart && (startInFreeRoom(step, preferred) || anyRack && startInFreeRoom(step, suitable))) {
            return;
        }
        List<WorkerRoom> candidates = ready.step().getColocated() && !anyRack ? preferred : suitable;
        if (ready.requiresAdvice() && mayAskForWorkers(step) && advicePlan.callHelps(step, candidates, nowMillis)) {
            advicePlan.add(step);
        }
        if (reservations.missingTasks(step) > 0 && reservable) {
            reservations.reserve(step, candidates, (room, millis) -> startsInMillis(ready, room, millis), nowMillis);
            if (held && !reservations.contains(step)) {
                reservationEnded.accept(ReservationEnd.OTHER);
            }
        }
        // A worker may turn out to be unusable while its room is being reserved.
        if (reservations.missingTasks(step) == 0) {
            advance(step);
        }
    }

    /**
     * Starts a gang wherever there are room and tickets for all of its tasks now, on the workers that it has reserved or on
     * others: a reservation on workers that are not ready must not keep a gang from starting.
     */
    private boolean startInFreeRoom(WaitingStep step, List<WorkerRoom> candidates) {
        boolean held = reservations.contains(step);
        Map<JobTask, WorkerRoom> tasks = roomForAll(step, candidates);
        if (tasks.isEmpty()) {
            return false;
        }
        Set<WorkerRoom> released = reservations.release(step);
        place(step, tasks);
        released.forEach(this::update);
        if (held) {
            considerNextGangs();
        }
        return true;
    }

    /** Returns a worker for each task of a gang, empty if there are not room and tickets for all of them now. */
    private Map<JobTask, WorkerRoom> roomForAll(WaitingStep step, List<WorkerRoom> candidates) {
        ReadyStep ready = step.ready();
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        List<WorkerRoom> startable = candidates.stream()
                .filter(room -> !ready.requiresAdvice() || stepAdvice.hasTicket(room.id(), nowMillis))
                .filter(room -> room.worker().capacityKnown(nowMillis + GANG_START_MILLIS))
                .filter(room -> room.freeSlots(step) > 0)
                .toList();
        if (startable.stream().mapToLong(room -> room.freeSlots(step)).sum() < ready.tasksAtOnce()) {
            return Map.of();
        }
        Map<JobTask, WorkerRoom> tasks =
                placer.choose(ready, startable, domainsInUse(ready), room -> room.freeFor(step));
        return tasks.size() < ready.tasksAtOnce() ? Map.of() : tasks;
    }

    /** Returns where the waiting tasks of a step would be placed now; of a gang all or none. Changes nothing. */
    Map<JobTask, WorkerRoom> placeableNow(WaitingStep step) {
        if (quota.tasksFitting(step) == 0) {
            return Map.of();
        }
        ReadyStep ready = step.ready().first(step.ready().gang() ? Long.MAX_VALUE : quota.tasksFitting(step));
        Map<JobTask, WorkerRoom> tasks = ready.reservesRoom() && !ready.mayUseReservedRoom(nowMillis)
                ? Map.of()
                : placer.choose(ready, candidates(step), domainsInUse(ready), nowMillis);
        if (!ready.reservesRoom() || !tasks.isEmpty() && tasks.size() == ready.tasksAtOnce()) {
            return tasks;
        }
        List<WorkerRoom> suitable = gangCandidates(step);
        Map<JobTask, WorkerRoom> onRack = roomForAll(step, GangRacks.preferred(step, suitable));
        boolean anyRack = step.waitedMillis(nowMillis) >= RACK_PATIENCE_MILLIS;
        return onRack.isEmpty() && anyRack ? roomForAll(step, suitable) : onRack;
    }

    /** Starts an urgent gang at once if the free room is enough, with what is reserved for others. */
    private boolean startInReservedRoom(WaitingStep step) {
        Map<JobTask, WorkerRoom> tasks =
                placer.choose(step.ready(), candidates(step), domainsInUse(step.ready()), nowMillis);
        if (tasks.size() < step.ready().tasksAtOnce()) {
            return false;
        }
        releaseReservation(step);
        place(step, tasks);
        return true;
    }

    /**
     * Returns whether calls may be made for a gang: if it is among the first in scheduling order, or if the pool is mostly
     * free. Otherwise the others must not occupy the callers yet.
     */
    private boolean mayAskForWorkers(WaitingStep step) {
        PoolRooms pool = poolOf(step.ready());
        return reservations.contains(step)
                || pool.freeCpuMillis() >= MIN_FREE_SHARE * pool.cpuMillis()
                || gangs.stream().limit(MAX_ASKING_GANGS).anyMatch(gang -> gang == step);
    }

    /** Returns the usable workers that a gang may run on. */
    private List<WorkerRoom> gangCandidates(WaitingStep step) {
        ReadyStep ready = step.ready();
        Collection<WorkerRoom> all =
                ready.requiresAdvice() ? step.eligibleRooms() : poolOf(ready).usable();
        examined.add(ExaminedCounts.Part.ROUND, all.size());
        Predicate<WorkerRoom> suitable = suitable(ready);
        return all.stream().filter(room -> room.usable() && suitable.test(room)).toList();
    }

    /**
     * Returns whether room may be reserved for a gang. The first reservations may have any size; otherwise a large gang
     * would never start. Urgent gangs need room for a short time only, and in a pool that is mostly free a reservation
     * keeps nothing from others.
     */
    private boolean mayReserve(ReadyStep gang) {
        return gang.isolated() ? isolation.allowed(gang, poolOf(gang)) : mayReserveShared(gang);
    }

    private boolean mayReserveShared(ReadyStep gang) {
        String name = gang.queue().getPool();
        PoolRooms pool = pool(name);
        double required = GangReservations.requiredCpuMillis(gang);
        return gang.urgent() && !gang.late()
                || reservations.count(name) < FIRST_RESERVATIONS
                || reservations.reservedCpuMillis(name) + required <= MAX_RESERVED_SHARE * pool.cpuMillis()
                || pool.freeCpuMillis() - required >= MIN_FREE_SHARE * pool.cpuMillis();
    }

    /** Returns the time after which a task of a gang could start in a room that is free after a time in milliseconds. */
    private long startsInMillis(ReadyStep gang, WorkerRoom room, long fitsInMillis) {
        long awayFromDataMillis =
                Placer.nearData(gang, room.worker()) ? 0 : gang.step().getEstimateMillis();
        boolean ticketNeeded =
                gang.requiresAdvice() && !advice.of(gang.id()).hasTicket(room.id(), nowMillis + fitsInMillis);
        long callMillis = ticketNeeded ? (long) JobPlan.adviceCallMillis(gang.queue(), 1) : 0;
        return Math.max(fitsInMillis, callMillis) + awayFromDataMillis;
    }

    /** Prepares the start of a gang with a reservation. */
    private void advance(WaitingStep step) {
        ReadyStep ready = step.ready();
        if (reservations.readyInMillis(step, nowMillis) > 0) {
            moveToFreeRoom(step);
        }
        long readyInMillis = reservations.readyInMillis(step, nowMillis);
        List<WorkerRoom> ticketless = advicePlan.withoutTicket(step, advicePlan.ticketsNeededMillis(step, nowMillis));
        long callMillis = advicePlan.callMillis(ready, ticketless.size());
        boolean callDue = !ticketless.isEmpty() && readyInMillis <= callMillis + CALL_LEAD_MILLIS;
        if (callDue || ready.requiresAdvice() && advicePlan.waitsForRoom(step, nowMillis)) {
            advicePlan.add(step);
        }
        // The return of a call has the gang considered.
        boolean nearerOnlyByCall = advice.callInProgress(step.id()) && readyInMillis == 0;
        long untilCallMillis = ticketless.isEmpty() ? readyInMillis : readyInMillis - callMillis;
        reviewAt(
                step,
                nowMillis
                        + (nearerOnlyByCall
                                ? MAX_RESERVATION_REVIEW_MILLIS
                                : Math.max(
                                        MIN_RESERVATION_REVIEW_MILLIS,
                                        Math.min(MAX_RESERVATION_REVIEW_MILLIS, untilCallMillis / 2))));
    }

    /** Moves tasks of a gang to workers that have room now, such as those that a call has just found eligible. */
    private void moveToFreeRoom(WaitingStep step) {
        ReadyStep ready = step.ready();
        Predicate<WorkerRoom> suitable = suitable(ready);
        examined.add(ExaminedCounts.Part.ROUND, step.eligibleRooms().size());
        step.eligibleRooms().stream()
                .filter(room -> room.usable() && ready.size().fitsIn(room.free()) && suitable.test(room))
                .toList()
                .forEach(room -> {
                    if (reservations.improve(step, room, startsInMillis(ready, room, 0), nowMillis)) {
                        reservationEnded.accept(ReservationEnd.MOVED);
                    }
                });
    }

    private void releaseReservation(WaitingStep step) {
        if (reservations.contains(step)) {
            reservationEnded.accept(ReservationEnd.OTHER);
            reservations.release(step).forEach(this::update);
            considerNextGangs();
        }
    }

    /** Has the first gangs without a reservation considered, because another reservation has ended. */
    private void considerNextGangs() {
        gangs.stream()
                .filter(gang -> !reservations.contains(gang))
                .limit(GANGS_AFTER_RESERVATION)
                .forEach(woken::add);
    }

    private void place(WaitingStep step, Map<JobTask, WorkerRoom> tasks) {
        if (tasks.isEmpty()) {
            return;
        }
        ReadyStep ready = step.ready();
        int gangRun = 1 + ready.waiting().stream().mapToInt(JobTask::run).max().orElse(0);
        PlaceRuns.Builder command = placements.computeIfAbsent(
                step, absent -> PlaceRuns.newBuilder().setWithinQuota(true));
        tasks.forEach((task, room) -> {
            int run = ready.gang() ? gangRun : task.run() + 1;
            command.addPlacements(Placement.newBuilder()
                    .setTask(task.id().toKey())
                    .setRun(run)
                    .setWorker(room.id().worker())
                    .setBornMillis(room.id().bornMillis()));
            proposed.accept(task.id());
            quota.proposed(new RunId(task.id(), run), step, ready.size());
            workers.propose(
                    new RunId(task.id(), run),
                    room.worker(),
                    advice.ticket(step.id(), room.id(), nowMillis).orElse(""));
        });
        Set.copyOf(tasks.values()).forEach(this::update);
        step.ready(ready.without(tasks.keySet()));
        if (step.ready().waiting().isEmpty()) {
            delist(step);
        }
    }

    private void propose(WaitingStep step, PlaceRuns.Builder command) {
        ReadyStep ready = step.ready();
        LOG.log(
                System.Logger.Level.INFO,
                "PLACE step={0} queue={1} tasks={2} waiting={3} workers={4} slackMillis={5} alone={6}",
                step.id(),
                ready.queue().getName(),
                command.getPlacementsCount(),
                command.getPlacementsCount() + ready.waiting().size(),
                command.getPlacementsList().stream()
                        .map(Placement::getWorker)
                        .distinct()
                        .toList(),
                Long.toString(ready.latestStartMillis() - nowMillis),
                ready.isolated());
        actions.accept(new DispatchAction.Propose(
                JobCommand.newBuilder().setPlace(command).build()));
    }

    private void sample() {
        if (!waits.begin(waiting.size(), nowMillis)) {
            return;
        }
        waits.recordParked(quota.parked());
        waiting.stream().limit(WaitSampler.MAX_STEPS).map(WaitingStep::ready).forEach(ready -> {
            List<WorkerRoom> usable = new ArrayList<>(poolOf(ready).usable());
            waits.record(ready, usable, suitable(ready));
        });
        waits.end();
    }
}
