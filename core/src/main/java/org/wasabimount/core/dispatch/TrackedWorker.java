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
    private Capacity used = Capacity.NONE;
    private boolean draining;
    private boolean listed;
    private boolean holding;
    private int misses;
    private long holdDueMillis;
    private long proposedOffset;
    private long sequence = Long.MIN_VALUE;
    private long heardMillis;
    private boolean ending;
    private boolean reborn;

    TrackedWorker(WorkerEntry entry, long leaseMillis, long nowMillis) {
        this.entry = entry;
        this.clock = new LeaseClock(leaseMillis, nowMillis);
        this.proposedOffset = entry.offset();
        this.heardMillis = nowMillis;
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
        used = used.plus(run.size());
    }

    void remove(RunId id) {
        TrackedRun gone = runs.remove(id);
        if (gone != null) {
            used = used.minus(gone.size());
        }
    }

    /** Returns what the worker can still take. */
    Capacity room() {
        return entry.capacity().minus(used);
    }

    /** Returns how long it probably takes until a size fits, if nothing else is placed here. */
    long millisUntilRoom(Capacity size, long nowMillis) {
        Capacity free = room();
        if (size.fitsIn(free)) {
            return 0;
        }
        List<TrackedRun> soonest = runs.values().stream()
                .sorted(Comparator.comparingLong(run -> run.leftMillis(nowMillis)))
                .toList();
        for (TrackedRun run : soonest) {
            free = free.plus(run.size());
            if (size.fitsIn(free)) {
                return run.leftMillis(nowMillis);
            }
        }
        return Long.MAX_VALUE;
    }

    /** Takes an announcement; an older one than the last says nothing any more. */
    boolean announced(boolean nowDraining, long number, long nowMillis) {
        if (number <= sequence) {
            return false;
        }
        sequence = number;
        heardMillis = nowMillis;
        draining = draining || nowDraining;
        return true;
    }

    long silentMillis(long nowMillis) {
        return nowMillis - heardMillis;
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
        return listed && !draining() && misses == 0 && health.trusted(nowMillis, runs.size());
    }

    /** Notes that another life of the worker answers at its address: nothing more may be started there. */
    void reborn() {
        reborn = true;
        holdDueMillis = Long.MIN_VALUE;
    }

    /** Tells whether a start may be sent: one that meets a later life under the same id would be taken there. */
    boolean startable() {
        return !reborn && misses == 0;
    }

    /** Tells whether an order for one of the runs may have reached whoever listens at the address. */
    boolean mayHaveOrdered() {
        return runs.values().stream().anyMatch(run -> run.tries() > 0 || run.unanswered());
    }

    /** Tells whether a start is on its way. */
    boolean starting() {
        return runs.values().stream().anyMatch(run -> run.state() == TrackedRun.State.STARTING);
    }

    /** Tells whether the worker counts when work is accepted: also before it has listed its runs to a new leader. */
    boolean expected() {
        return !draining() && misses == 0;
    }

    boolean listed() {
        return listed;
    }

    void listed(boolean heard) {
        listed = heard;
    }

    /** Notes an order without an answer: nothing more is placed here until the worker lists its runs again. */
    void missed() {
        misses++;
    }

    int misses() {
        return misses;
    }

    boolean holdDue(long nowMillis) {
        return !holding && nowMillis >= holdDueMillis && proposedOffset <= entry.offset();
    }

    void holdSent() {
        holding = true;
    }

    void holdAnswered(boolean heard, long nextMillis, long nowMillis) {
        heardMillis = heard ? nowMillis : heardMillis;
        holding = false;
        misses = heard ? 0 : misses + 1;
        holdDueMillis = nextMillis;
    }

    long proposedOffset() {
        return proposedOffset;
    }

    void proposed(long offset) {
        proposedOffset = offset;
    }

    String domain() {
        return entry.incarnation().getDomain();
    }

    String rack() {
        return entry.incarnation().getRack();
    }

    boolean has(String label) {
        return label.isEmpty() || entry.incarnation().getLabelsList().contains(label);
    }
}
