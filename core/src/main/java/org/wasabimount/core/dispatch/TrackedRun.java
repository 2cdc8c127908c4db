package org.wasabimount.core.dispatch;

import java.util.OptionalDouble;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.interference.TaskKind;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.Step;

/** The leader's state of one run that is assigned to a worker. */
final class TrackedRun {

    /** Remaining time assumed for a run that takes longer than declared, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 100;

    /** Minimum time over which a pace is measured, in milliseconds; a worker lists its runs at least every second. */
    private static final long MIN_PACE_WINDOW_MILLIS = 400;

    private static final double PERCENT = 100.0;

    private static final int NOT_LISTED = -1;

    /** Least progress from which the duration of a run is estimated; progress is listed in whole percent. */
    private static final int MIN_PERCENT_FOR_ESTIMATE = 5;

    /** The state of a run, in the order of its life cycle. */
    enum State {
        /** The placement is not committed yet; its capacity is reserved. */
        PROPOSED,
        /** Placed by an earlier leader; the worker has not reported yet whether it is running. */
        INHERITED,
        /** The start order must be sent, or sent again. */
        TO_START,
        /** The start order was sent; its outcome is not known yet. */
        STARTING,
        /** The worker has confirmed that it has the run. */
        RUNNING,
        /** The stop order must be sent, or sent again. */
        TO_STOP,
        /** The stop order was sent; its outcome is not known yet. */
        STOPPING,
        /** The worker accepted the stop or no longer accepts the start; the next list shows whether the run exists. */
        AWAITING_LIST,
        /** The run is certainly not on the worker; its loss is being committed. */
        LOSING;

        boolean ending() {
            return compareTo(TO_STOP) >= 0;
        }
    }

    private final RunId id;
    private final IncarnationId incarnation;
    private final Step step;
    private final Capacity size;
    private State state;
    private TaskKind kind;
    private boolean suspect;
    private boolean isolated;
    private String ticket = "";
    private String saved = "";
    private boolean unanswered;
    private int startAttempts;
    private long dueMillis;
    private long startedMillis;
    private long awaitingListSinceMillis;
    private boolean resumesFromSaved;
    private boolean baselineMeasured;
    private int measuredPercent;
    private long measuredMillis;

    /** The progress from which the run's pace is known: that of its start if this leader has seen it, else the first listed. */
    private int firstPercent = NOT_LISTED;

    private long firstPercentMillis;
    private int listedPercent;
    private long listedMillis;
    private boolean advanced;

    TrackedRun(RunId id, IncarnationId incarnation, Step step, State state) {
        this.id = id;
        this.incarnation = incarnation;
        this.step = step;
        this.size = Capacity.of(step.getSize());
        this.state = state;
        this.unanswered = state == State.INHERITED;
    }

    RunId id() {
        return id;
    }

    IncarnationId incarnation() {
        return incarnation;
    }

    Step step() {
        return step;
    }

    Capacity size() {
        return size;
    }

    State state() {
        return state;
    }

    String ticket() {
        return ticket;
    }

    String saved() {
        return saved;
    }

    /**
     * Returns whether the worker may still carry out an unanswered order for the run without the leader's knowledge.
     */
    boolean unanswered() {
        return unanswered;
    }

    int startAttempts() {
        return startAttempts;
    }

    long startedMillis() {
        return startedMillis;
    }

    TrackedRun withTicket(String newTicket) {
        ticket = newTicket;
        return this;
    }

    TrackedRun withKind(TaskKind newKind) {
        kind = newKind;
        return this;
    }

    /** Returns the kind of the task, by which its neighbours on a worker are told apart. */
    TaskKind kind() {
        return kind;
    }

    /** Returns when the run began its work without any progress, as monotonic time in milliseconds; negative if not known. */
    long workStartedMillis() {
        boolean known = state == State.RUNNING && startAttempts > 0 && !resumesFromSaved && !step.getGang();
        return known ? startedMillis : -1;
    }

    /** Marks the run by what is known of its task's earlier runs. */
    TrackedRun withSuspicion(boolean workersCrashed, boolean runsAlone) {
        suspect = workersCrashed;
        isolated = runsAlone;
        return this;
    }

    /** Returns whether a worker may have crashed under an earlier run of the task. */
    boolean suspect() {
        return suspect;
    }

    /** Returns whether the run may share its worker only with runs of its own job. */
    boolean isolated() {
        return isolated;
    }

    /** Returns whether no start has been sent, so that the worker can't have the run. */
    boolean neverSent() {
        return (state == State.PROPOSED || state == State.TO_START) && startAttempts == 0 && !unanswered;
    }

    /** Returns whether an order for the run must be sent, now or later. */
    boolean awaitsOrder() {
        return state == State.TO_START || state == State.TO_STOP;
    }

    boolean due(long nowMillis) {
        return nowMillis >= dueMillis;
    }

    void startAt(long whenMillis) {
        state = State.TO_START;
        dueMillis = whenMillis;
    }

    void starting(boolean fromSaved) {
        state = State.STARTING;
        resumesFromSaved = fromSaved;
        startAttempts++;
    }

    void unanswered(boolean mayBeCarriedOut) {
        unanswered = unanswered || mayBeCarriedOut;
    }

    void runs(long nowMillis) {
        // The initial progress is known to be zero only for a run that this leader started without saved progress.
        baselineMeasured = state == State.STARTING && !resumesFromSaved;
        state = State.RUNNING;
        startedMillis = nowMillis;
        measuredMillis = nowMillis;
    }

    void stopAt(long whenMillis) {
        state = State.TO_STOP;
        dueMillis = whenMillis;
    }

    void stopping() {
        state = State.STOPPING;
    }

    void awaitList(long nowMillis) {
        state = State.AWAITING_LIST;
        awaitingListSinceMillis = nowMillis;
    }

    /** Returns whether a list requested at the given time proves the run absent if it does not contain it. */
    boolean absenceConfirmedBy(long requestedMillis) {
        return state == State.AWAITING_LIST && requestedMillis >= awaitingListSinceMillis;
    }

    /**
     * Returns whether this leader has sent a start that was not answered, so that whichever incarnation received it may carry
     * it out late. The starts of earlier leaders are fenced by any call of this one.
     */
    boolean mayStartLate() {
        return unanswered && startAttempts > 0;
    }

    /** Returns whether a start that this leader has sent has no response, yet or for good. */
    boolean startOpen() {
        return state == State.STARTING || mayStartLate();
    }

    /**
     * Returns whether a list of a later incarnation that does not contain the run proves that it will never be there: the
     * list was requested after the start was answered, or after a stop by which a late start is rejected.
     */
    boolean settledInLaterIncarnation(long requestedMillis) {
        return switch (state) {
            case STARTING, STOPPING -> false;
            case AWAITING_LIST -> absenceConfirmedBy(requestedMillis);
            case LOSING, PROPOSED -> true;
            default -> !mayStartLate() && requestedMillis >= startedMillis;
        };
    }

    void losing() {
        state = State.LOSING;
    }

    /**
     * Records the progress of the run from a list.
     *
     * @return the share of the declared speed since the previous measurement; empty if too little time has passed, or
     *     if the run has no progress of its own to measure (long-running, gang or filler)
     */
    OptionalDouble progress(String latestSaved, int percent, long nowMillis) {
        if (!latestSaved.isEmpty()) {
            saved = latestSaved;
        }
        if (firstPercent == NOT_LISTED) {
            boolean startKnown = startAttempts > 0 && startedMillis > 0 && !resumesFromSaved;
            firstPercent = startKnown ? 0 : percent;
            firstPercentMillis = startKnown ? startedMillis : nowMillis;
        }
        advanced |= percent > (resumesFromSaved ? firstPercent : 0);
        // A task of a gang that has done its work is listed with all of it until the slowest one has done its own.
        if (listedPercent < PERCENT) {
            listedPercent = percent;
            listedMillis = nowMillis;
        }
        if (!baselineMeasured) {
            baselineMeasured = true;
            measuredMillis = nowMillis;
            measuredPercent = percent;
        }
        long windowMillis = nowMillis - measuredMillis;
        boolean measurable = state == State.RUNNING && !step.getLongRunning() && !step.getGang() && !step.getFiller();
        if (!measurable || windowMillis < MIN_PACE_WINDOW_MILLIS || percent >= PERCENT) {
            return OptionalDouble.empty();
        }
        double pace = (percent - measuredPercent) / PERCENT * step.getEstimateMillis() / windowMillis;
        measuredMillis = nowMillis;
        measuredPercent = percent;
        return OptionalDouble.of(pace);
    }

    /** Returns whether a list has shown that the run works: a gang does so only once all its tasks have started. */
    boolean advanced() {
        return advanced;
    }

    /**
     * Returns the estimated remaining time of the run, in milliseconds: by its pace if that is known, otherwise by its
     * declared time. A run that has taken longer than that is expected to take as long again as it is overdue, so that
     * nothing waits for it as if it were about to end.
     */
    long remainingMillis(long nowMillis) {
        long expectedMillis = expectedEndMillis(nowMillis) - nowMillis;
        return Math.max(MIN_REMAINING_MILLIS, Math.abs(expectedMillis));
    }

    /** Returns whether the run has taken longer than estimated. */
    boolean overdue(long nowMillis) {
        return expectedEndMillis(nowMillis) < nowMillis;
    }

    private long expectedEndMillis(long nowMillis) {
        int advancedPercent = listedPercent - firstPercent;
        boolean paceKnown = firstPercent != NOT_LISTED && advancedPercent >= MIN_PERCENT_FOR_ESTIMATE;
        if (paceKnown) {
            double millisPerPercent = (double) (listedMillis - firstPercentMillis) / advancedPercent;
            return listedMillis + (long) (millisPerPercent * (PERCENT - listedPercent));
        }
        return (startedMillis > 0 ? startedMillis : nowMillis) + step.getEstimateMillis();
    }
}
