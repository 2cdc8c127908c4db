package org.wasabimount.core.job;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.WorkerLife;

/** The current life of a worker. */
public final class WorkerEntry {

    private final WorkerLife life;
    private final LifeId id;
    private final Capacity capacity;
    private long offset;

    WorkerEntry(WorkerLife life, long offset) {
        this.life = life;
        this.id = LifeId.of(life);
        this.capacity = Capacity.of(life.getCapacity());
        this.offset = offset;
    }

    /**
     * Returns what the worker said of itself.
     *
     * @return the life
     */
    public WorkerLife life() {
        return life;
    }

    /**
     * Returns the id of the life.
     *
     * @return the id
     */
    public LifeId id() {
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
