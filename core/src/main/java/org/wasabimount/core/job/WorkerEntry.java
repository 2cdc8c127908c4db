package org.wasabimount.core.job;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.WorkerLife;

/** The replicated state of a worker's current incarnation. */
public final class WorkerEntry {

    private final WorkerLife incarnation;
    private final IncarnationId id;
    private final Capacity capacity;
    private final long sequence;
    private long offset;

    WorkerEntry(WorkerLife incarnation, long sequence, long offset) {
        this.incarnation = incarnation;
        this.id = IncarnationId.of(incarnation);
        this.capacity = Capacity.of(incarnation.getCapacity());
        this.sequence = sequence;
        this.offset = offset;
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
     * Returns the number of the announcement that the data is from.
     *
     * @return the number; later announcements of the incarnation have higher ones
     */
    public long sequence() {
        return sequence;
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
