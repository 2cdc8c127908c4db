package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.WorkerEntry;

/** The leader's state of one incarnation of a worker, with the runs assigned to it. */
final class TrackedWorker {

    private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
    private final LeaseClock clock;
    private final WorkerHealth health = new WorkerHealth();
    private final WorkerSharing sharing = new WorkerSharing();
    private WorkerEntry entry;
    private Capacity usedCapacity = Capacity.NONE;
    private int suspectRuns;
    private int isolatedRuns;
    private boolean draining;
    private OptionalLong leaveReceivedMillis = OptionalLong.empty();
    private boolean runsListed;
    private boolean renewalPending;
    private int unansweredCalls;
    private long renewalDueMillis;
    private long proposedOffset;
    private long sequence;
    private Capacity capacity;
    private long capacityKnownUntilMillis;
    private long announcedClockMillis;
    private Capacity strayCapacity = Capacity.NONE;
    private long lastContactMillis;
    private boolean ending;
    private OptionalLong replacedMillis = OptionalLong.empty();

    TrackedWorker(WorkerEntry entry, long leaseMillis, long nowMillis) {
        this.entry = entry;
        this.clock = new LeaseClock(leaseMillis, nowMillis);
        this.sequence = entry.sequence();
        this.capacity = entry.capacity();
        this.capacityKnownUntilMillis = nowMillis;
        this.proposedOffset = entry.offset();
        this.lastContactMillis = nowMillis;
    }

    WorkerEntry entry() {
        return entry;
    }

    void entry(WorkerEntry newer) {
        entry = newer;
    }

    LeaseClock clock() {
        return clock;
    }

    WorkerHealth health() {
        return health;
    }

    WorkerSharing sharing() {
        return sharing;
    }

    Collection<TrackedRun> runs() {
        return runs.values();
    }

    TrackedRun run(RunId id) {
        return runs.get(id);
    }

    void add(TrackedRun run) {
        runs.put(run.id(), run);
        sharing.add(run);
        usedCapacity = usedCapacity.plus(run.size());
        suspectRuns += run.suspect() ? 1 : 0;
        isolatedRuns += run.isolated() ? 1 : 0;
    }

    void remove(RunId id) {
        TrackedRun removed = runs.remove(id);
        if (removed != null) {
            sharing.remove(removed);
            usedCapacity = usedCapacity.minus(removed.size());
            suspectRuns -= removed.suspect() ? 1 : 0;
            isolatedRuns -= removed.isolated() ? 1 : 0;
        }
    }

    /** Returns the capacity of the latest announcement, before its commit if it has changed. */
    Capacity capacity() {
        return capacity;
    }

    /** Records until when starts may rely on the capacity, as monotonic time in milliseconds. */
    void capacityKnownUntil(long untilMillis) {
        capacityKnownUntilMillis = Math.max(capacityKnownUntilMillis, untilMillis);
    }

    /** Forgets until when the capacity is known, because the clock may have stood still. */
    void capacityUnknown(long nowMillis) {
        capacityKnownUntilMillis = nowMillis;
    }

    /** Returns whether the capacity was announced so recently that starts may rely on it. */
    boolean capacityKnown(long nowMillis) {
        return nowMillis < capacityKnownUntilMillis;
    }

    /** Records the worker's own clock when it sent the latest announcement, in milliseconds. */
    void announcedClockMillis(long millis) {
        announcedClockMillis = millis;
    }

    long announcedClockMillis() {
        return announcedClockMillis;
    }

    /** Returns the number of the latest announcement that this leader knows of. */
    long sequence() {
        return sequence;
    }

    /** Records the size of the runs that the worker has but that are not assigned to it. */
    void strays(Capacity size) {
        strayCapacity = size;
    }

    /** Returns whether a run fits beside those that the worker may have, whatever else is assigned to it. */
    boolean fitsNow(TrackedRun run) {
        Capacity used = runs.values().stream()
                .filter(other -> other != run && !other.neverSent())
                .map(TrackedRun::size)
                .reduce(strayCapacity, Capacity::plus);
        return used.plus(run.size()).fitsIn(capacity);
    }

    /** Returns the capacity that the assigned runs use, whether they have started or are being stopped. */
    Capacity usedCapacity() {
        return usedCapacity;
    }

    /** Returns the capacity that is not used by assigned runs. */
    Capacity freeCapacity() {
        return capacity.minus(usedCapacity).minus(strayCapacity);
    }

    /** Returns whether a run here may share the worker only with runs of its own job. */
    boolean isolated() {
        return isolatedRuns > 0;
    }

    /** Returns whether workers may have crashed under the task of a run here. */
    boolean hasSuspects() {
        return suspectRuns > 0;
    }

    /** Returns whether workers may have crashed under a task of a job with a run here. */
    boolean hasSuspectsOf(String job) {
        return hasSuspects()
                && runs.values().stream()
                        .anyMatch(run -> run.suspect() && run.id().task().job().equals(job));
    }

    /** Records an announcement; returns false and ignores it if it is not newer than the last one. */
    boolean announcementReceived(boolean nowDraining, Capacity newCapacity, long newSequence, long nowMillis) {
        if (newSequence <= sequence) {
            return false;
        }
        sequence = newSequence;
        capacity = newCapacity;
        lastContactMillis = nowMillis;
        draining = draining || nowDraining;
        return true;
    }

    long silentMillis(long nowMillis) {
        return nowMillis - lastContactMillis;
    }

    /** Returns whether the end of the incarnation is being committed. */
    boolean ending() {
        return ending;
    }

    void end() {
        ending = true;
    }

    /** Returns whether the worker has announced that it leaves, to this leader or an earlier one. */
    boolean draining() {
        return draining || entry.incarnation().getDraining();
    }

    /** Records a notice that the worker leaves; it may be meant for an earlier incarnation. */
    void leaveReceived(long nowMillis) {
        leaveReceivedMillis = OptionalLong.of(nowMillis);
    }

    /** Forgets a notice that the worker leaves if the worker has answered a call that was sent after it. */
    void answered(long requestedMillis) {
        if (leaveReceivedMillis.isPresent() && requestedMillis > leaveReceivedMillis.getAsLong()) {
            leaveReceivedMillis = OptionalLong.empty();
        }
    }

    /** Returns whether the worker has left: it has announced that, and does not answer any more. */
    boolean left() {
        return leaveReceivedMillis.isPresent() && draining() && unansweredCalls > 0;
    }

    /** Returns whether tasks may be placed here. */
    boolean usable(long nowMillis) {
        return runsListed
                && !ending
                && !replaced()
                && !draining()
                && unansweredCalls == 0
                && capacityKnown(nowMillis)
                && health.allowsRun(nowMillis, this::unprovenRuns);
    }

    /** Returns the number of runs that may still fail or succeed; one that is to last, and works, does neither. */
    private long unprovenRuns() {
        return runs.values().stream()
                .filter(run -> !run.step().getLongRunning() || run.state() != TrackedRun.State.RUNNING)
                .count();
    }

    /** Records that another incarnation of the worker responds at its address: no more runs may be started there. */
    void markReplaced(long nowMillis) {
        if (!replaced()) {
            replacedMillis = OptionalLong.of(nowMillis);
        }
    }

    boolean replaced() {
        return replacedMillis.isPresent();
    }

    /** Returns since when another incarnation is known to respond at the worker's address. */
    long replacedMillis() {
        return replacedMillis.orElseThrow();
    }

    /** Has the next list requested without delay. */
    void requestListNow() {
        renewalDueMillis = Long.MIN_VALUE;
    }

    /**
     * Returns whether a start may be sent; a later incarnation with the same id would accept a start meant for this
     * one.
     */
    boolean canStart() {
        return !replaced() && unansweredCalls == 0;
    }

    /**
     * Returns the cores that count for admission, even before the worker has listed its runs to a new leader, in
     * thousandths of a core.
     */
    long cpuMillisForAdmission() {
        return draining() || unansweredCalls > 0 ? 0 : capacity.cpuMillis();
    }

    boolean runsListed() {
        return runsListed;
    }

    void runsListed(boolean received) {
        runsListed = received;
    }

    /** Records an unanswered order: nothing more is placed here until the worker lists its runs again. */
    void recordUnansweredCall() {
        unansweredCalls++;
    }

    int unansweredCalls() {
        return unansweredCalls;
    }

    boolean renewalDue(long nowMillis) {
        return !renewalPending && nowMillis >= renewalDueMillis && proposedOffset <= entry.offset();
    }

    /** Returns whether an order to the worker may become due without any event. */
    boolean awaitsOrder() {
        return !renewalPending || unansweredCalls > 0 || runs.values().stream().anyMatch(TrackedRun::awaitsOrder);
    }

    void renewalSent() {
        renewalPending = true;
    }

    void leaseRenewalCompleted(boolean received, long nextMillis, long nowMillis) {
        lastContactMillis = received ? nowMillis : lastContactMillis;
        renewalPending = false;
        unansweredCalls = received ? 0 : unansweredCalls + 1;
        renewalDueMillis = nextMillis;
    }

    long proposedOffset() {
        return proposedOffset;
    }

    void recordProposedOffset(long offset) {
        proposedOffset = offset;
    }

    String domain() {
        return entry.incarnation().getDomain();
    }

    String rack() {
        return entry.incarnation().getRack();
    }

    boolean hasLabel(String label) {
        return label.isEmpty() || entry.incarnation().getLabelsList().contains(label);
    }
}
