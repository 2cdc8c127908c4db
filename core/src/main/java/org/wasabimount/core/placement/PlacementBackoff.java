package org.wasabimount.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.wasabimount.core.cell.DeclaredResource;

/**
 * Limits how often placement is attempted again for deferrable work that could not be placed, with exponential backoff,
 * and how long such work waits for a start on the most suitable worker.
 */
final class PlacementBackoff {

    private static final long FIRST_DELAY_MILLIS = 100;
    private static final long MAX_DELAY_MILLIS = 1_600;

    /** Longest time that work waits for a start on the most suitable worker before an empty worker may be used. */
    private static final long MAX_START_WAIT_MILLIS = 2_000;

    private final Map<DeclaredResource, Delay> delays = new HashMap<>();
    private final Map<DeclaredResource, Long> waitingForStartSinceMillis = new HashMap<>();

    private record Delay(long untilMillis, long delayMillis) {}

    /** Returns whether placement of the resource may be attempted now. */
    boolean isDue(DeclaredResource resource, long nowMillis) {
        Delay delay = delays.get(resource);
        return delay == null || nowMillis >= delay.untilMillis();
    }

    /** Doubles the delay before the next attempt, up to the maximum. */
    void recordFailure(DeclaredResource resource, long nowMillis) {
        Delay last = delays.get(resource);
        long delayMillis = last == null ? FIRST_DELAY_MILLIS : Math.min(MAX_DELAY_MILLIS, 2 * last.delayMillis());
        delays.put(resource, new Delay(nowMillis + delayMillis, delayMillis));
    }

    void recordPlacement(DeclaredResource resource) {
        delays.remove(resource);
        waitingForStartSinceMillis.remove(resource);
    }

    /** Records that the resource waits for a start; it is attempted again in the next round. */
    void recordWaitForStart(DeclaredResource resource, long nowMillis) {
        delays.remove(resource);
        waitingForStartSinceMillis.putIfAbsent(resource, nowMillis);
    }

    boolean mayWaitForStart(DeclaredResource resource, long nowMillis) {
        return nowMillis - waitingForStartSinceMillis.getOrDefault(resource, nowMillis) < MAX_START_WAIT_MILLIS;
    }

    /** Removes the entries of resources that no longer wait, once there are too many of them. */
    void retainOnly(Set<DeclaredResource> waiting) {
        if (delays.size() + waitingForStartSinceMillis.size() > 2 * waiting.size()) {
            delays.keySet().retainAll(waiting);
            waitingForStartSinceMillis.keySet().retainAll(waiting);
        }
    }
}
