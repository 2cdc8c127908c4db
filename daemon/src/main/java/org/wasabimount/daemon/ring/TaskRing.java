package org.wasabimount.daemon.ring;

import java.util.concurrent.ThreadFactory;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/** Runs tasks one after the other on a thread of its own, fed by a bounded ring. */
public final class TaskRing {

    private final Disruptor<Slot> disruptor;

    /** Runs a task and, at the end of each batch, what belongs behind it. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Runs a task.
         *
         * @param task the task
         * @param endOfBatch whether no other task waits
         */
        void handle(Runnable task, boolean endOfBatch);
    }

    /** A place in the ring. */
    private static final class Slot {
        private Runnable task;
    }

    /**
     * Creates a ring; {@link #start} starts its thread.
     *
     * @param name the thread's name
     * @param slots how many tasks may wait, a power of two
     * @param handler runs the tasks; must not throw
     */
    public TaskRing(String name, int slots, Handler handler) {
        ThreadFactory threads = task -> new Thread(task, name);
        this.disruptor = new Disruptor<>(Slot::new, slots, threads, ProducerType.MULTI, new BlockingWaitStrategy());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> {
            Runnable task = slot.task;
            slot.task = null;
            handler.handle(task, endOfBatch);
        });
    }

    /** Starts the thread. */
    public void start() {
        disruptor.start();
    }

    /** Stops the thread after what is in the ring. */
    public void stop() {
        disruptor.shutdown();
    }

    /**
     * Adds a task if there is a free place.
     *
     * @param task the task
     * @return false if the ring is full; the task is not run
     */
    public boolean submit(Runnable task) {
        return disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Adds a task, and waits for a free place if there is none.
     *
     * @param task the task
     */
    public void submitOrWait(Runnable task) {
        disruptor.getRingBuffer().publishEvent((slot, sequence) -> slot.task = task);
    }
}
