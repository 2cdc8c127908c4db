package org.wasabimount.daemon.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.wasabimount.core.Clock;

/** Limits the requests per second of each client address; applied before credentials are checked. */
final class ClientRateLimit {

    private static final long WINDOW_MILLIS = 1_000;
    private static final int MAX_CLIENTS = 10_000;

    private final long maxPerSecond;
    private final Clock clock;
    private final Map<InetAddress, Window> windows = new ConcurrentHashMap<>();

    private record Window(long startMillis, long count) {}

    ClientRateLimit(long maxPerSecond, Clock clock) {
        this.maxPerSecond = maxPerSecond;
        this.clock = clock;
    }

    boolean admit(InetSocketAddress client) {
        if (maxPerSecond == 0) {
            return true;
        }
        long nowMillis = clock.millis();
        if (windows.size() >= MAX_CLIENTS) {
            windows.values().removeIf(window -> nowMillis - window.startMillis() >= WINDOW_MILLIS);
        }
        Window window = windows.compute(client.getAddress(), (address, current) -> countRequest(current, nowMillis));
        return window.count() <= maxPerSecond;
    }

    private static Window countRequest(Window current, long nowMillis) {
        return current == null || nowMillis - current.startMillis() >= WINDOW_MILLIS
                ? new Window(nowMillis, 1)
                : new Window(current.startMillis(), current.count() + 1);
    }
}
