package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.WorkerEntry;

/** What the leader knows of one life of a worker, and the runs it has given to it. */
final class TrackedWorker {

    private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
    private final LeaseClock clock;
    private final WorkerHealth health = new WorkerHealth();
    private WorkerEntry entry;
    private Capacity usedCapacity = Capacity.NONE;
    private boolean draining;
    private boolean runsListed;
    private boolean renewalPending;
    private int unansweredCalls;
    private long renewalDueMillis;
    private long proposedOffset;
    private long sequence = Long.MIN_VALUE;
    private long lastContactMillis;
    private boolean ending;
    private boolean replaced;

    TrackedWorker(WorkerEntry entry, long leaseMillis, long nowMillis) {
        this.entry = entry;
        this.clock = new LeaseClock(leaseMillis, nowMillis);
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

    Collection<TrackedRun> runs() {
        return runs.values();
    }

    TrackedRun run(RunId id) {
        return runs.get(id);
    }

    void add(TrackedRun run) {
        runs.put(run.id(), run);
        usedCapacity = usedCapacity.plus(run.size());
    }

    void remove(RunId id) {
        TrackedRun removed = runs.remove(id);
        if (removed != null) {
            usedCapacity = usedCapacity.minus(removed.size());
        }
    }

    /** Returns what the worker can still take. */
    Capacity freeCapacity() {
        return entry.capacity().minus(usedCapacity);
    }

    /** Returns how long it probably takes until a size fits, if nothing else is placed here. */
    long millisUntilFits(Capacity size, long nowMillis) {
        Capacity availableCapacity = freeCapacity();
        if (size.fitsIn(availableCapacity)) {
            return 0;
        }
        List<TrackedRun> earliestFirst = runs.values().stream()
                .sorted(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)))
                .toList();
        for (TrackedRun run : earliestFirst) {
            availableCapacity = availableCapacity.plus(run.size());
            if (size.fitsIn(availableCapacity)) {
                return run.remainingMillis(nowMillis);
            }
        }
        return Long.MAX_VALUE;
    }

    /** Takes an announcement; an older one than the last says nothing any more. */
    boolean announcementReceived(boolean nowDraining, long newSequence, long nowMillis) {
        if (newSequence <= sequence) {
            return false;
        }
        sequence = newSequence;
        lastContactMillis = nowMillis;
        draining = draining || nowDraining;
        return true;
    }

    long silentMillis(long nowMillis) {
        return nowMillis - lastContactMillis;
    }

    /** Tells whether the end of the life is being committed. */
    boolean ending() {
        return ending;
    }

    void end() {
        ending = true;
    }

    /** Tells whether the worker has said that it leaves, to this leader or to one before. */
    boolean draining() {
        return draining || entry.incarnation().getDraining();
    }

    /** Tells whether tasks may be placed here. */
    boolean usable(long nowMillis) {
        return runsListed && !draining() && unansweredCalls == 0 && health.allowsRun(nowMillis, runs.size());
    }

    /** Notes that another life of the worker answers at its address: nothing more may be started there. */
    void replaced() {
        replaced = true;
        renewalDueMillis = Long.MIN_VALUE;
    }

    /** Tells whether a start may be sent: one that meets a later life under the same id would be taken there. */
    boolean canStart() {
        return !replaced && unansweredCalls == 0;
    }

    /** Tells whether an order for one of the runs may have reached whoever listens at the address. */
    boolean mayHaveReceivedOrder() {
        return runs.values().stream().anyMatch(run -> run.startAttempts() > 0 || run.unanswered());
    }

    /** Tells whether a start is on its way. */
    boolean starting() {
        return runs.values().stream().anyMatch(run -> run.state() == TrackedRun.State.STARTING);
    }

    /** Tells whether the worker counts when work is accepted: also before it has listed its runs to a new leader. */
    boolean countsForAdmission() {
        return !draining() && unansweredCalls == 0;
    }

    boolean runsListed() {
        return runsListed;
    }

    void runsListed(boolean received) {
        runsListed = received;
    }

    /** Notes an order without an answer: nothing more is placed here until the worker lists its runs again. */
    void recordUnansweredCall() {
        unansweredCalls++;
    }

    int unansweredCalls() {
        return unansweredCalls;
    }

    boolean renewalDue(long nowMillis) {
        return !renewalPending && nowMillis >= renewalDueMillis && proposedOffset <= entry.offset();
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
