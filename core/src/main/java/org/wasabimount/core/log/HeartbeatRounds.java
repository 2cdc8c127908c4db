package org.wasabimount.core.log;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The send times of a leader's recent heartbeat rounds.
 *
 * <p>A leader's lease starts when the round that a majority has acknowledged was sent.
 */
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

    /** Returns the number of the last round. Numbers are not reset when this replica becomes leader again. */
    long current() {
        return current;
    }

    /** Returns the send time of a round or, if it is not retained, that of the last retained round before it. */
    OptionalLong sentMillis(long round) {
        Map.Entry<Long, Long> sent = sentMillis.floorEntry(round);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent.getValue());
    }

    void clear() {
        sentMillis.clear();
    }
}
