package org.wasabimount.bench.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import org.wasabimount.client.HttpClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates stand-in workers and backend servers, which share an HTTP client and its I/O threads. */
public final class StandIns implements AutoCloseable {

    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final int IO_THREADS = 2;

    private final List<String> entryAddresses;
    private final String secret;
    private final XnioWorker ioThreads;
    private final HttpClient httpClient;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final List<StandInBackend> backends = new ArrayList<>();
    private int announcerCount;

    /**
     * Creates an instance without any stand-ins.
     *
     * @param entryAddresses the entry VMs' HTTP addresses
     * @param secret the secret for announcements
     */
    public StandIns(List<String> entryAddresses, String secret) {
        this.entryAddresses = entryAddresses;
        this.secret = secret;
        try {
            this.ioThreads = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap());
        } catch (java.io.IOException e) {
            throw new IllegalStateException("I/O threads could not be created", e);
        }
        this.httpClient = new HttpClient(ioThreads, MAX_RESPONSE_BYTES);
    }

    /**
     * Returns the client that the stand-ins share.
     *
     * @return the client
     */
    public HttpClient httpClient() {
        return httpClient;
    }

    /**
     * Adds and starts a worker.
     *
     * @param settings the worker's settings
     * @param eventLog receives a line for each start and end of a task
     * @return this
     */
    public StandIns worker(StandInWorker.Settings settings, Consumer<String> eventLog) {
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread newThread = new Thread(task, settings.name());
            newThread.setDaemon(true);
            return newThread;
        });
        new StandInWorker(settings, announcer(), thread, eventLog).start();
        return this;
    }

    /**
     * Adds and starts a backend server.
     *
     * @param settings the server's settings
     * @return the server
     */
    public StandInBackend backend(StandInBackend.Settings settings) {
        StandInBackend backend = new StandInBackend(settings, announcer(), ioThreads, timers);
        backend.start();
        backends.add(backend);
        return backend;
    }

    /**
     * Returns the backend servers.
     *
     * @return the backend servers in the order in which they were added
     */
    public List<StandInBackend> backends() {
        return backends;
    }

    @Override
    public void close() {
        backends.forEach(StandInBackend::stop);
        timers.shutdownNow();
        ioThreads.shutdownNow();
    }

    private Announcer announcer() {
        announcerCount++;
        return new Announcer(httpClient, entryAddresses, secret, announcerCount);
    }
}
