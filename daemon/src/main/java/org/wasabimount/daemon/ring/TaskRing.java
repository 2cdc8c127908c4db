package org.wasabimount.daemon.ring;

import java.util.concurrent.ThreadFactory;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.WaitStrategy;
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

    /** Does the work that is due at a time, whether or not tasks arrive. */
    public interface Idler {

        /**
         * Returns how long the thread may wait for a task, determined after each batch.
         *
         * @return the time in milliseconds
         */
        long maxWaitMillis();

        /** Called when no task has arrived in that time; must not throw. */
        void waited();
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
        this(name, slots, new Consumer(handler, () -> {}), new BlockingWaitStrategy());
    }

    /**
     * Creates a ring whose thread also works when no task arrives; {@link #start} starts its thread.
     *
     * @param name the thread's name
     * @param slots the number of tasks that may wait, a power of two
     * @param handler runs the tasks; must not throw
     * @param idler works when no task arrives
     */
    public TaskRing(String name, int slots, Handler handler, Idler idler) {
        this(name, slots, new Consumer(handler, idler::waited), new TimedWaitStrategy(idler::maxWaitMillis));
    }

    private TaskRing(String name, int slots, Consumer consumer, WaitStrategy waitStrategy) {
        ThreadFactory threads = task -> new Thread(task, name);
        this.disruptor = new Disruptor<>(Slot::new, slots, threads, ProducerType.MULTI, waitStrategy);
        disruptor.handleEventsWith(consumer);
    }

    /** Passes on the events of the ring buffer. */
    private static final class Consumer implements EventHandler<Slot> {

        private final Handler handler;
        private final Runnable waited;

        private Consumer(Handler handler, Runnable waited) {
            this.handler = handler;
            this.waited = waited;
        }

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            Runnable task = slot.task;
            slot.task = null;
            handler.handle(task, endOfBatch);
        }

        @Override
        public void onTimeout(long sequence) {
            waited.run();
        }
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
