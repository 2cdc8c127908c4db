package org.wasabimount.bench.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.xnio.XnioWorker;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/**
 * A backend server with a number of slots that announces itself and echoes each request after a service time.
 *
 * <p>It counts how often each idempotency key ran, so that duplicate runs are detected.
 */
public final class StandInBackend {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long ANNOUNCE_MILLIS = 1_000;
    private static final long ANNOUNCE_TIMEOUT_MILLIS = 900;
    private static final long SLOW_FACTOR = 10;
    private static final int SERVER_ERROR = 500;

    private final Settings settings;
    private final Announcer announcer;
    private final ScheduledExecutorService timers;
    private final Undertow server;
    private final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();
    private final AtomicLong runs = new AtomicLong();
    private final Queue<Runnable> queuedRequests = new ArrayDeque<>();
    private volatile Behaviour behaviour = Behaviour.SERVES;
    private volatile boolean leaving;
    private long sequence;
    private int busySlots;

    /** How a backend server handles requests. */
    public enum Behaviour {
        /** Responds after the service time. */
        SERVES,
        /** Responds after ten times the service time. */
        SLOW,
        /** Responds with an error immediately. */
        FAILS,
        /** Accepts requests, but sends no responses and no announcements. */
        FROZEN
    }

    /**
     * What a backend server announces and how long it takes per request.
     *
     * @param name its id
     * @param organisation the organisation that owns it
     * @param service its service
     * @param shared whether every organisation may call it
     * @param domain its failure domain
     * @param address the address on which it listens
     * @param slots how many requests it runs concurrently
     * @param serviceMillis how long one request takes
     */
    public record Settings(
            String name,
            String organisation,
            String service,
            boolean shared,
            String domain,
            InetSocketAddress address,
            int slots,
            long serviceMillis) {}

    StandInBackend(Settings settings, Announcer announcer, XnioWorker ioThreads, ScheduledExecutorService timers) {
        this.settings = settings;
        this.announcer = announcer;
        this.timers = timers;
        this.sequence = System.currentTimeMillis();
        this.server = Undertow.builder()
                .addHttpListener(
                        settings.address().getPort(), settings.address().getHostString(), this::handle)
                .setWorker(ioThreads)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    /** Opens the port and starts the periodic announcements. */
    public void start() {
        server.start();
        timers.scheduleAtFixedRate(this::announce, 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Changes how requests are handled from now on.
     *
     * @param newBehaviour the new behaviour
     */
    public void setBehaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Announces that the server is leaving; it still responds to requests. */
    public void leave() {
        leaving = true;
        announce();
    }

    /** Closes the port. */
    public void stop() {
        server.stop();
    }

    /**
     * Returns how many requests were started.
     *
     * @return the count
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Returns how often each idempotency key ran.
     *
     * @return the counts by key
     */
    public Map<String, AtomicLong> runsByKey() {
        return runsByKey;
    }

    private void announce() {
        if (behaviour == Behaviour.FROZEN) {
            return;
        }
        sequence++;
        ObjectNode body = MAPPER.createObjectNode()
                .put("server", settings.name())
                .put("organisation", settings.organisation())
                .put("service", settings.service())
                .put("shared", settings.shared())
                .put("domain", settings.domain())
                .put(
                        "address",
                        settings.address().getHostString() + ":"
                                + settings.address().getPort())
                .put("slots", settings.slots())
                .put("connections", settings.slots() * 8)
                .put("leaving", leaving)
                .put("sequence", sequence);
        announcer.next();
        announcer.post("/platform/backend", body, ANNOUNCE_TIMEOUT_MILLIS);
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) ->
                        received.dispatch(SameThreadExecutor.INSTANCE, () -> process(received, body)));
    }

    private void process(HttpServerExchange exchange, byte[] body) {
        if (behaviour == Behaviour.FAILS) {
            respond(exchange, SERVER_ERROR, "failed");
        } else if (behaviour != Behaviour.FROZEN) {
            long factor = behaviour == Behaviour.SLOW ? SLOW_FACTOR : 1;
            enqueue(exchange, body, factor * settings.serviceMillis());
        }
    }

    private void enqueue(HttpServerExchange exchange, byte[] body, long workMillis) {
        synchronized (queuedRequests) {
            if (busySlots >= settings.slots()) {
                queuedRequests.add(() -> execute(exchange, body, workMillis));
                return;
            }
            busySlots++;
        }
        execute(exchange, body, workMillis);
    }

    private void execute(HttpServerExchange exchange, byte[] body, long workMillis) {
        runs.incrementAndGet();
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        if (key != null) {
            runsByKey.computeIfAbsent(key, absent -> new AtomicLong()).incrementAndGet();
        }
        timers.schedule(() -> finish(exchange, body), workMillis, TimeUnit.MILLISECONDS);
    }

    private void finish(HttpServerExchange exchange, byte[] body) {
        ObjectNode echo = MAPPER.createObjectNode()
                .put("server", settings.name())
                .put("organisation", exchange.getRequestHeaders().getFirst("Wasabimount-Organisation"))
                .put("path", exchange.getRequestURI())
                .put("body", new String(body, StandardCharsets.UTF_8));
        respond(exchange, 200, echo.toString());
        Runnable next;
        synchronized (queuedRequests) {
            next = queuedRequests.poll();
            if (next == null) {
                busySlots--;
            }
        }
        if (next != null) {
            next.run();
        }
    }

    private static void respond(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(text);
    }
}
