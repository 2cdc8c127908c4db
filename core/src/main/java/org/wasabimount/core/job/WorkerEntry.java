package org.wasabimount.core.job;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.WorkerLife;

/** The replicated state of a worker's current incarnation. */
public final class WorkerEntry {

    private final WorkerLife incarnation;
    private final IncarnationId id;
    private final Capacity capacity;
    private long sequence;
    private long clockMillis;
    private long offset;

    WorkerEntry(WorkerLife incarnation, long sequence, long clockMillis, long offset) {
        this.incarnation = incarnation;
        this.id = IncarnationId.of(incarnation);
        this.capacity = Capacity.of(incarnation.getCapacity());
        this.sequence = sequence;
        this.clockMillis = clockMillis;
        this.offset = offset;
    }

    /**
     * Returns the entry of a worker that has announced itself.
     *
     * @param announcement the announcement
     * @return an entry that is not in any table
     */
    public static WorkerEntry of(Announce announcement) {
        return new WorkerEntry(announcement.getLife(), announcement.getSequence(), announcement.getClockMillis(), 0);
    }

    /**
     * Returns the data that the worker announced about this incarnation.
     *
     * @return the announced data
     */
    public WorkerLife incarnation() {
        return incarnation;
    }

    /**
     * Returns the id of the incarnation.
     *
     * @return the id
     */
    public IncarnationId id() {
        return id;
    }

    /**
     * Returns the worker's capacity.
     *
     * @return the total resources that its tasks together may request
     */
    public Capacity capacity() {
        return capacity;
    }

    /**
     * Returns the number of the last recorded announcement.
     *
     * @return the number; later announcements of the incarnation have higher ones
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the worker's own clock when it sent the last recorded announcement.
     *
     * @return the monotonic time in milliseconds, zero if it was not recorded
     */
    public long clockMillis() {
        return clockMillis;
    }

    void confirm(long newSequence, long newClockMillis) {
        if (newSequence > sequence) {
            sequence = newSequence;
            clockMillis = newClockMillis;
        }
    }

    /**
     * Returns the offset up to which the worker's run ends have been recorded.
     *
     * @return the number of the last recorded run end, zero if there is none
     */
    public long offset() {
        return offset;
    }

    void advance(long to) {
        offset = Math.max(offset, to);
    }
}
