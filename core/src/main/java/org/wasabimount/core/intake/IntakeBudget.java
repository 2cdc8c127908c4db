package org.wasabimount.core.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.wasabimount.core.Validate;

/**
 * Bounds the bytes that all open requests of a process hold, and decides which of them are given up.
 *
 * <p>Load: clients that send many bodies at once, in chunks of any size, stop short of the end and keep the connection
 * open, or do not read large responses; beside them callers with ordinary requests. Bytes count as they arrive, so that
 * announcing a size takes nothing from others. When the bytes run out, requests without recent progress are given up
 * first, and the largest of several: a crowd of bodies that do not end gives way to a large body that arrives, and a
 * large body to small ones. Whole requests are not given up, as they may be running.
 *
 * <p>Not thread-safe.
 *
 * @param <T> what identifies a request to the caller
 */
public final class IntakeBudget<T> {

    /** Callers resend a request that has no response after a second. */
    private static final long STALLED_MILLIS = 1_000;

    /** The least that counts as progress, so that single bytes do not keep a body open. */
    private static final long PROGRESS_BYTES = 1_024;

    private final Comparator<Holder<T>> order = Comparator.<Holder<T>>comparingLong(holder -> holder.heldBytes)
            .thenComparing(holder -> holder.progressMillis, Comparator.reverseOrder());

    private final long capacityBytes;
    private final long timeoutMillis;
    private final Set<Holder<T>> unfinished = new LinkedHashSet<>();
    private long heldBytes;

    /**
     * Creates a budget that nothing has been taken from.
     *
     * @param capacityBytes the bytes that all requests may hold
     * @param timeoutMillis how long a request may stay without progress
     */
    public IntakeBudget(long capacityBytes, long timeoutMillis) {
        this.capacityBytes = Validate.positive(capacityBytes, "capacityBytes");
        this.timeoutMillis = Validate.positive(timeoutMillis, "timeoutMillis");
    }

    /**
     * The part of one request.
     *
     * @param <T> what identifies the request
     */
    public static final class Holder<T> {
        private final T owner;
        private long heldBytes;
        private long markBytes;
        private long progressMillis;

        private Holder(T owner, long nowMillis) {
            this.owner = owner;
            this.progressMillis = nowMillis;
        }
    }

    /**
     * Opens an unfinished request that holds nothing.
     *
     * @param owner what identifies the request
     * @param nowMillis the current monotonic time
     * @return its part of the budget
     */
    public Holder<T> open(T owner, long nowMillis) {
        Holder<T> holder = new Holder<>(owner, nowMillis);
        unfinished.add(holder);
        return holder;
    }

    /**
     * Sets the bytes that an open request holds.
     *
     * @param holder its part
     * @param bytes the bytes that it holds from now on
     * @param nowMillis the current monotonic time
     * @return the requests that have to be given up, whose parts have been closed; may include this one
     */
    public List<T> hold(Holder<T> holder, long bytes, long nowMillis) {
        heldBytes += bytes - holder.heldBytes;
        holder.heldBytes = bytes;
        List<T> givenUp = new ArrayList<>();
        while (heldBytes > capacityBytes && !unfinished.isEmpty()) {
            Holder<T> first = unfinished.stream()
                    .max(Comparator.<Holder<T>, Boolean>comparing(
                                    open -> nowMillis - open.progressMillis >= STALLED_MILLIS)
                            .thenComparing(order))
                    .orElseThrow();
            close(first);
            givenUp.add(first.owner);
        }
        return givenUp;
    }

    /**
     * Records how far a request has come.
     *
     * @param holder its part
     * @param movedBytes the bytes received or sent since it was opened
     * @param nowMillis the current monotonic time
     */
    public void progress(Holder<T> holder, long movedBytes, long nowMillis) {
        if (movedBytes - holder.markBytes >= PROGRESS_BYTES) {
            holder.markBytes = movedBytes;
            holder.progressMillis = nowMillis;
        }
    }

    /**
     * Returns whether a request has been without progress for too long.
     *
     * @param holder its part
     * @param nowMillis the current monotonic time
     * @return true if it has to be ended
     */
    public boolean isOverdue(Holder<T> holder, long nowMillis) {
        return nowMillis - holder.progressMillis >= timeoutMillis;
    }

    /**
     * Keeps the bytes of a request that has arrived as a whole until it is closed.
     *
     * @param holder its part
     */
    public void finish(Holder<T> holder) {
        unfinished.remove(holder);
    }

    /**
     * Gives the bytes of a request back; has no effect on one that was closed before.
     *
     * @param holder its part
     */
    public void close(Holder<T> holder) {
        unfinished.remove(holder);
        heldBytes -= holder.heldBytes;
        holder.heldBytes = 0;
    }

    /**
     * Returns the bytes that all requests hold.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return heldBytes;
    }
}
