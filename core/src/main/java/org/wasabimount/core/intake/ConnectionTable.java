package org.wasabimount.core.intake;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.core.Validate;

/**
 * Bounds the open connections of a process, and decides which one is closed for a new one.
 *
 * <p>Load: clients that open connections and send nothing, or never a whole request, beside callers that keep a
 * connection between their requests. A connection whose request is running is never closed. First come those that have
 * brought no whole request in the time in which callers send one, then the one that was used longest ago, and new ones
 * last.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the connections
 */
public final class ConnectionTable<T> {

    /** Callers send a request right after they have connected; one lost packet delays it by a second. */
    private static final long FIRST_REQUEST_MILLIS = 2_000;

    private final int capacity;
    private final Map<T, Entry> entries = new LinkedHashMap<>();

    /** What is known of one connection. */
    private static final class Entry {
        private long lastUseMillis;
        private boolean used;
        private boolean busy;
    }

    /**
     * Creates a table without connections.
     *
     * @param capacity the connections that may be open at the same time
     */
    public ConnectionTable(int capacity) {
        this.capacity = (int) Validate.positive(capacity, "capacity");
    }

    /**
     * Adds a connection.
     *
     * @param connection the new connection
     * @param nowMillis the current monotonic time
     * @return the connection that has to be closed for it, which has been removed; the new one if all others are busy
     */
    public Optional<T> open(T connection, long nowMillis) {
        Entry entry = new Entry();
        entry.lastUseMillis = nowMillis;
        entries.put(connection, entry);
        if (entries.size() <= capacity) {
            return Optional.empty();
        }
        Optional<T> closed = entries.entrySet().stream()
                .filter(other -> !other.getValue().busy)
                .min(Comparator.<Map.Entry<T, Entry>>comparingInt(other -> rank(other.getValue(), nowMillis))
                        .thenComparingLong(other -> other.getValue().lastUseMillis))
                .map(Map.Entry::getKey);
        closed.ifPresent(entries::remove);
        return closed;
    }

    private static int rank(Entry entry, long nowMillis) {
        if (entry.used) {
            return 1;
        }
        return nowMillis - entry.lastUseMillis >= FIRST_REQUEST_MILLIS ? 0 : 2;
    }

    /**
     * Records that a whole request has arrived.
     *
     * @param connection its connection
     */
    public void requestStarted(T connection) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            entry.used = true;
            entry.busy = true;
        }
    }

    /**
     * Records that the response to a request has been sent.
     *
     * @param connection its connection
     * @param nowMillis the current monotonic time
     */
    public void requestEnded(T connection, long nowMillis) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            entry.busy = false;
            entry.lastUseMillis = nowMillis;
        }
    }

    /**
     * Removes a connection; has no effect on one that is not in the table.
     *
     * @param connection the closed connection
     * @return whether it ended without having brought a whole request
     */
    public boolean close(T connection) {
        Entry entry = entries.remove(connection);
        return entry != null && !entry.used;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }
}
