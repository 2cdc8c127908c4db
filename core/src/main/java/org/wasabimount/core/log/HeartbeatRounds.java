package org.wasabimount.core.log;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** When a leader sent its last heartbeats; a lease is counted from the sending of one that a majority answered. */
final class HeartbeatRounds {

    private static final int MAX_ROUNDS = 256;

    private final TreeMap<Long, Long> sentMillis = new TreeMap<>();
    private long current;

    void begin(long nowMillis) {
        current++;
        sentMillis.put(current, nowMillis);
        if (sentMillis.size() > MAX_ROUNDS) {
            sentMillis.pollFirstEntry();
        }
    }

    /** Returns the number of the last round; numbers go on from one term of leadership to the next. */
    long current() {
        return current;
    }

    /** Returns when a round was sent, or the last kept one before it. */
    OptionalLong sentMillis(long round) {
        Map.Entry<Long, Long> sent = sentMillis.floorEntry(round);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent.getValue());
    }

    void clear() {
        sentMillis.clear();
    }
}
