package org.wasabimount.daemon.ring;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;

/** Blocks the consumer until a task arrives, or until a time that is determined anew for each wait. */
final class TimedWaitStrategy implements WaitStrategy {

    private final Object mutex = new Object();
    private final LongSupplier maxWaitMillis;

    TimedWaitStrategy(LongSupplier maxWaitMillis) {
        this.maxWaitMillis = maxWaitMillis;
    }

    @Override
    public long waitFor(long sequence, Sequence cursor, Sequence dependentSequence, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        if (cursor.get() < sequence) {
            awaitPublication(sequence, cursor, barrier);
        }
        long availableSequence = dependentSequence.get();
        while (availableSequence < sequence) {
            barrier.checkAlert();
            Thread.onSpinWait();
            availableSequence = dependentSequence.get();
        }
        return availableSequence;
    }

    private void awaitPublication(long sequence, Sequence cursor, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMillis.getAsLong());
        synchronized (mutex) {
            while (cursor.get() < sequence) {
                barrier.checkAlert();
                long remainingNanos = untilNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    throw TimeoutException.INSTANCE;
                }
                TimeUnit.NANOSECONDS.timedWait(mutex, remainingNanos);
            }
        }
    }

    @Override
    public void signalAllWhenBlocking() {
        synchronized (mutex) {
            mutex.notifyAll();
        }
    }
}
