package org.wasabimount.core.log;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The send times of a leader's recent heartbeat rounds, and the last index of its log at these times.
 *
 * <p>A leader's lease starts when the round that a majority has acknowledged was sent.
 */
final class HeartbeatRounds {

    private static final int MAX_ROUNDS = 256;

    private final TreeMap<Long, Round> rounds = new TreeMap<>();
    private long current;

    private record Round(long sentMillis, long lastIndex) {}

    void begin(long nowMillis, long lastIndex) {
        current++;
        rounds.put(current, new Round(nowMillis, lastIndex));
        if (rounds.size() > MAX_ROUNDS) {
            rounds.pollFirstEntry();
        }
    }

    /** Returns the number of the last round. Numbers are not reset when this replica becomes leader again. */
    long current() {
        return current;
    }

    /** Returns the send time of a round or, if it is not retained, that of the last retained round before it. */
    OptionalLong sentMillis(long round) {
        Map.Entry<Long, Round> sent = rounds.floorEntry(round);
        return sent == null
                ? OptionalLong.empty()
                : OptionalLong.of(sent.getValue().sentMillis());
    }

    /** Returns the last index of the log when a round was sent, or empty if the round is not retained. */
    OptionalLong lastIndex(long round) {
        Round sent = rounds.get(round);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent.lastIndex());
    }

    void clear() {
        rounds.clear();
    }
}
