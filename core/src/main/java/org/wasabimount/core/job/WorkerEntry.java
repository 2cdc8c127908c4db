package org.wasabimount.core.job;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.WorkerLife;

/** The current life of a worker. */
public final class WorkerEntry {

    private final WorkerLife incarnation;
    private final IncarnationId id;
    private final Capacity capacity;
    private long offset;

    WorkerEntry(WorkerLife incarnation, long offset) {
        this.incarnation = incarnation;
        this.id = IncarnationId.of(incarnation);
        this.capacity = Capacity.of(incarnation.getCapacity());
        this.offset = offset;
    }

    /**
     * Returns what the worker said of itself.
     *
     * @return the life
     */
    public WorkerLife incarnation() {
        return incarnation;
    }

    /**
     * Returns the id of the life.
     *
     * @return the id
     */
    public IncarnationId id() {
        return id;
    }

    /**
     * Returns the worker's size.
     *
     * @return what all its tasks together may ask for
     */
    public Capacity capacity() {
        return capacity;
    }

    /**
     * Returns up to where the worker's ends were taken note of.
     *
     * @return the number of the last end
     */
    public long offset() {
        return offset;
    }

    void advance(long to) {
        offset = Math.max(offset, to);
    }
}
