package org.wasabimount.client;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/** Tests requests that are meant for one of the processes that succeed each other at an address. */
public class ConnectionCheckTest {

    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long SHORT_TIMEOUT_MILLIS = 200;

    /** The paths of the received requests, each with the port of the connection on which it came. */
    private final List<Received> received = Collections.synchronizedList(new ArrayList<>());

    private XnioWorker worker;
    private HttpClient client;
    private Undertow server;
    private String address;
    private volatile String process;
    private volatile boolean closes;
    private volatile boolean silent;

    private record Received(String path, int port) {}

    @BeforeMethod
    public void startServer() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        client = new HttpClient(worker, 1 << 20);
        process = "first";
        closes = false;
        silent = false;
        received.clear();
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1", this::receive)
                .setWorker(worker)
                .build();
        server.start();
        InetSocketAddress listening =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        address = listening.getHostString() + ":" + listening.getPort();
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        server.stop();
        worker.shutdown();
    }

    private void receive(HttpServerExchange exchange) {
        received.add(new Received(
                exchange.getRequestPath(), exchange.getSourceAddress().getPort()));
        if (silent) {
            exchange.dispatch(() -> {});
            return;
        }
        if (closes) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.getResponseSender().send(process);
    }

    private HttpResult send(String expected) {
        return send(expected, TIMEOUT_MILLIS);
    }

    private HttpResult send(String expected, long timeoutMillis) {
        ConnectionCheck check = new ConnectionCheck(
                expected, request("/check"), response -> text(response).equals(expected));
        return client.send(address, request("/order"), timeoutMillis, check).join();
    }

    private static HttpRequest request(String path) {
        return HttpRequest.of("POST", path, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private static String text(HttpResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private List<String> paths() {
        return received.stream().map(Received::path).toList();
    }

    private long connections() {
        return received.stream().map(Received::port).distinct().count();
    }

    @Test
    public void requestIsNotSentToAnotherProcess() {
        process = "second";
        HttpResult result = send("first");
        assertEquals(result.outcome(), HttpOutcome.CHECK_FAILED);
        assertEquals(text(result.response()), "second");
        assertEquals(paths(), List.of("/check"));
    }

    @Test
    public void connectionIsCheckedOnce() {
        assertEquals(send("first").outcome(), HttpOutcome.ANSWERED);
        assertEquals(send("first").outcome(), HttpOutcome.ANSWERED);
        assertEquals(paths(), List.of("/check", "/order", "/order"));
        assertEquals(connections(), 1);
    }

    @Test
    public void connectionOfEarlierProcessIsNotUsedForLaterOne() {
        send("first");
        process = "second";
        assertEquals(send("second").outcome(), HttpOutcome.ANSWERED);
        assertEquals(paths(), List.of("/check", "/order", "/check", "/order"));
        assertEquals(connections(), 2);
    }

    @Test
    public void connectionThatFailedCheckIsCheckedForAnotherProcess() {
        process = "second";
        send("first");
        assertEquals(send("second").outcome(), HttpOutcome.ANSWERED);
        assertEquals(paths(), List.of("/check", "/check", "/order"));
        assertEquals(connections(), 1);
    }

    @Test
    public void uncheckedRequestUsesAnyConnection() {
        send("first");
        HttpResult result =
                client.send(address, request("/order"), TIMEOUT_MILLIS, true).join();
        assertEquals(result.outcome(), HttpOutcome.ANSWERED);
        assertEquals(connections(), 1);
    }

    @Test
    public void requestIsNotSentIfServerClosesConnectionAfterCheck() {
        closes = true;
        assertEquals(send("first").outcome(), HttpOutcome.NOT_SENT);
        assertEquals(paths(), List.of("/check"));
    }

    @Test
    public void requestIsNotSentIfCheckIsNotAnswered() {
        silent = true;
        assertEquals(send("first", SHORT_TIMEOUT_MILLIS).outcome(), HttpOutcome.NOT_SENT);
        assertEquals(paths(), List.of("/check"));
    }

    @Test
    public void unansweredRequestAfterCheckTimesOut() {
        send("first");
        silent = true;
        assertEquals(send("first", SHORT_TIMEOUT_MILLIS).outcome(), HttpOutcome.TIMED_OUT);
    }
}
