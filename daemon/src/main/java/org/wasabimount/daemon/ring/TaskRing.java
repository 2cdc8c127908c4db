package org.wasabimount.daemon.ring;

import java.util.concurrent.ThreadFactory;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/** Runs tasks sequentially on a dedicated thread that reads them from a bounded ring buffer. */
public final class TaskRing {

    private final Disruptor<Slot> disruptor;

    /** Runs tasks and, at the end of each batch, the work that follows a batch. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Runs a task.
         *
         * @param task the task
         * @param endOfBatch whether no further task is waiting
         */
        void handle(Runnable task, boolean endOfBatch);
    }

    /** An entry of the ring buffer. */
    private static final class Slot {
        private Runnable task;
    }

    /**
     * Creates a ring; {@link #start} starts its thread.
     *
     * @param name the thread's name
     * @param slots the number of tasks that may wait, a power of two
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

    /** Stops the thread once all tasks in the ring have run. */
    public void stop() {
        disruptor.shutdown();
    }

    /**
     * Adds a task if there is a free slot.
     *
     * @param task the task
     * @return false if the ring is full and the task will not run
     */
    public boolean submit(Runnable task) {
        return disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Adds a task, blocking until a slot is free.
     *
     * @param task the task
     */
    public void submitOrWait(Runnable task) {
        disruptor.getRingBuffer().publishEvent((slot, sequence) -> slot.task = task);
    }
}
