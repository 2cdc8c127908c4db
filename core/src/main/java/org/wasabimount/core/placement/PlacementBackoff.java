package org.wasabimount.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.wasabimount.core.cell.DeclaredResource;

/** Bounds how often patient work that found no room is tried again, and how long it is held for its best worker. */
final class PlacementBackoff {

    private static final long FIRST_DELAY_MILLIS = 100;
    private static final long MAX_DELAY_MILLIS = 1_600;

    /** How long work waits for a start on the worker that suits it best. */
    private static final long MAX_START_WAIT_MILLIS = 2_000;

    private final Map<DeclaredResource, Delay> delays = new HashMap<>();
    private final Map<DeclaredResource, Long> waitingForStartSinceMillis = new HashMap<>();

    private record Delay(long untilMillis, long delayMillis) {}

    boolean isDue(DeclaredResource resource, long nowMillis) {
        Delay delay = delays.get(resource);
        return delay == null || nowMillis >= delay.untilMillis();
    }

    void recordFailure(DeclaredResource resource, long nowMillis) {
        Delay last = delays.get(resource);
        long delayMillis = last == null ? FIRST_DELAY_MILLIS : Math.min(MAX_DELAY_MILLIS, 2 * last.delayMillis());
        delays.put(resource, new Delay(nowMillis + delayMillis, delayMillis));
    }

    void recordPlacement(DeclaredResource resource) {
        delays.remove(resource);
        waitingForStartSinceMillis.remove(resource);
    }

    void recordWaitForStart(DeclaredResource resource, long nowMillis) {
        delays.remove(resource);
        waitingForStartSinceMillis.putIfAbsent(resource, nowMillis);
    }

    boolean mayWaitForStart(DeclaredResource resource, long nowMillis) {
        return nowMillis - waitingForStartSinceMillis.getOrDefault(resource, nowMillis) < MAX_START_WAIT_MILLIS;
    }

    void retainOnly(Set<DeclaredResource> waiting) {
        if (delays.size() + waitingForStartSinceMillis.size() > 2 * waiting.size()) {
            delays.keySet().retainAll(waiting);
            waitingForStartSinceMillis.keySet().retainAll(waiting);
        }
    }
}
