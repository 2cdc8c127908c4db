package org.wasabimount.client;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Connections that the client opens and gives up. */
public class HttpClientTest {

    private static final int ATTEMPTS = 20;
    private static final long TIMEOUT_MILLIS = 200;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** State of a connection attempt without a response in /proc/net/tcp. */
    private static final String SYN_SENT = "02";

    private final List<Socket> queued = new ArrayList<>();
    private XnioWorker worker;
    private HttpClient client;
    private ServerSocket unresponsive;

    @BeforeClass
    public void openUnresponsiveServer() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        client = new HttpClient(worker, 1 << 20);
        // Linux drops the opening packets of further connections while the queue of this one is full.
        unresponsive = new ServerSocket(0, 1, InetAddress.getByName("127.0.44.1"));
        for (int count = 0; count < 2; count++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
            queued.add(socket);
        }
    }

    @AfterClass(alwaysRun = true)
    public void closeServer() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
        unresponsive.close();
        worker.shutdown();
    }

    private long openAttempts() {
        String port = ":%04X".formatted(unresponsive.getLocalPort());
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6")
                .flatMap(HttpClientTest::lines)
                .map(line -> line.trim().split("\\s+"))
                .filter(columns -> columns[2].endsWith(port) && columns[3].equals(SYN_SENT))
                .count();
    }

    private static Stream<String> lines(String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void closesConnectionAttemptsThatTimeOut() throws InterruptedException {
        String address = unresponsive.getInetAddress().getHostAddress() + ":" + unresponsive.getLocalPort();
        List<CompletableFuture<HttpResult>> results = IntStream.range(0, ATTEMPTS)
                .mapToObj(
                        number -> client.send(address, HttpRequest.of("POST", "/", new byte[0]), TIMEOUT_MILLIS, true))
                .toList();
        results.forEach(result -> assertEquals(result.join().outcome(), HttpOutcome.NOT_SENT));
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
        while (openAttempts() > 0 && System.nanoTime() < untilNanos) {
            Thread.sleep(20);
        }
        assertEquals(openAttempts(), 0, "connection attempts that are still open");
    }
}
