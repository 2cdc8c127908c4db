package org.wasabimount.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.quota.QuotaDemand;

/** A ready step with waiting tasks, and where they may be placed as far as is known. */
final class WaitingStep implements QuotaDemand {

    /** Minimum time between two searches for further workers with room, in milliseconds; a part of a call. */
    private static final long SEARCH_INTERVAL_MILLIS = 250;

    /** As {@link #SEARCH_INTERVAL_MILLIS}, for steps of the most urgent priority; a part of their objective. */
    private static final long URGENT_SEARCH_INTERVAL_MILLIS = 50;

    private final Set<WorkerRoom> eligibleRooms = new LinkedHashSet<>();
    private ReadyStep ready;
    private boolean listed;
    private long reviewMillis;
    private long isolatedSinceMillis = Long.MAX_VALUE;
    private boolean shared;
    private long waitingSinceMillis = Long.MAX_VALUE;
    private long searchDueMillis = Long.MIN_VALUE;

    WaitingStep(ReadyStep ready) {
        this.ready = ready;
    }

    /** Returns the order of waiting steps that follows from an order of ready steps. */
    static Comparator<WaitingStep> comparator(SchedulingOrder order) {
        return Comparator.comparing(WaitingStep::ready, order.comparator());
    }

    StepId id() {
        return ready.id();
    }

    ReadyStep ready() {
        return ready;
    }

    /** Replaces the step's state; while the step is listed, only its waiting tasks may differ. */
    void ready(ReadyStep newer) {
        ready = newer;
    }

    @Override
    public String organisation() {
        return ready.job().organisation();
    }

    @Override
    public Capacity unit() {
        return ready.size().times(ready.gang() ? ready.step().getCount() : 1);
    }

    @Override
    public int units() {
        return ready.gang() ? 1 : ready.waiting().size();
    }

    /** Returns whether the step is in the sets that are sorted by scheduling order. */
    boolean listed() {
        return listed;
    }

    void listed(boolean nowListed) {
        listed = nowListed;
    }

    /** Returns the rooms of the workers that advice has reported as eligible; unsorted, and some may be unusable. */
    Set<WorkerRoom> eligibleRooms() {
        return eligibleRooms;
    }

    /** Returns the step's state as it is to be placed: once its tasks may share workers, that is not taken back. */
    ReadyStep placeable(ReadyStep newer, long nowMillis) {
        waitingSinceMillis = Math.min(waitingSinceMillis, nowMillis);
        if (newer.isolated()) {
            isolatedSinceMillis = Math.min(isolatedSinceMillis, nowMillis);
        }
        return shared ? newer.shared() : newer;
    }

    /** Returns how long the step has had tasks that wait, in milliseconds. */
    long waitedMillis(long nowMillis) {
        return Math.max(0, nowMillis - waitingSinceMillis);
    }

    /** Returns how long the step's tasks have waited for workers of their own, in milliseconds. */
    long isolatedMillis(long nowMillis) {
        return Math.max(0, nowMillis - isolatedSinceMillis);
    }

    /** Lets the step's tasks share their workers with others. */
    void share() {
        shared = true;
    }

    /** Returns when the step is considered again even if nothing changes for it, as monotonic time in milliseconds. */
    long reviewMillis() {
        return reviewMillis;
    }

    void reviewAt(long millis) {
        reviewMillis = millis;
    }

    /** Returns whether further workers with room may be searched for; a search examines many. */
    boolean searchDue(long nowMillis) {
        return nowMillis >= searchDueMillis;
    }

    void searched(long nowMillis) {
        searchDueMillis = nowMillis + (ready.urgent() ? URGENT_SEARCH_INTERVAL_MILLIS : SEARCH_INTERVAL_MILLIS);
    }

    @Override
    public String toString() {
        return id().toString();
    }
}
