package org.wasabimount.core.dispatch;

import java.util.OptionalDouble;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.Step;

/** What the leader knows and wants of one run that was given to a worker. */
final class TrackedRun {

    /** What is assumed to be left of a run that takes longer than declared, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 100;

    /** Shortest time over which a pace is measured, in milliseconds; a worker lists at least every half second. */
    private static final long MIN_PACE_WINDOW_MILLIS = 400;

    private static final double PERCENT = 100.0;

    /** How far a run is. */
    enum State {
        /** Its placement is not committed yet; room is held for it. */
        PROPOSED,
        /** An earlier leader placed it; the worker has not said yet whether it runs. */
        INHERITED,
        /** Its start is to be sent, or sent again. */
        TO_START,
        /** Its start is on the way. */
        STARTING,
        /** The worker has it. */
        RUNNING,
        /** Its stop is to be sent, or sent again. */
        TO_STOP,
        /** Its stop is on the way. */
        STOPPING,
        /** Its stop was taken: the next list says whether it was there. */
        AWAITING_LIST,
        /** It surely is not there, which is being committed. */
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

    /** Tells whether an order for the run may still be carried out without the leader's knowledge. */
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
        // Where it begins is known only of a run that this leader started from nothing.
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

    /** Tells whether a list that was asked for at a time can say that the run is not there. */
    boolean absenceConfirmedBy(long requestedMillis) {
        return state == State.AWAITING_LIST && requestedMillis >= awaitingListSinceMillis;
    }

    void losing() {
        state = State.LOSING;
    }

    /**
     * Takes a list's word on the run.
     *
     * @return the share of its declared speed since the measure before, empty if it is too early to tell or if the run
     *     does not work towards an end of its own
     */
    OptionalDouble progress(String latestSaved, int percent, long nowMillis) {
        if (!latestSaved.isEmpty()) {
            saved = latestSaved;
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

    /** Returns how long the run probably still takes. */
    long remainingMillis(long nowMillis) {
        long elapsed = nowMillis - startedMillis;
        long expected = step.getEstimateMillis();
        return Math.max(MIN_REMAINING_MILLIS, expected - elapsed);
    }
}
