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

/** Hosts stand-ins on shared threads. */
public final class StandIns implements AutoCloseable {

    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final int IO_THREADS = 2;

    private final List<String> servers;
    private final String secret;
    private final XnioWorker ioThreads;
    private final HttpClient client;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final List<StandInBackend> backends = new ArrayList<>();
    private int count;

    /**
     * Creates a host without stand-ins.
     *
     * @param servers the entry VMs' HTTP addresses
     * @param secret the platform's secret
     */
    public StandIns(List<String> servers, String secret) {
        this.servers = servers;
        this.secret = secret;
        try {
            this.ioThreads = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap());
        } catch (java.io.IOException e) {
            throw new IllegalStateException("no I/O threads can be made", e);
        }
        this.client = new HttpClient(ioThreads, MAX_ANSWER_BYTES);
    }

    /**
     * Returns the client that the stand-ins share.
     *
     * @return the client
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Adds a worker.
     *
     * @param settings what it announces
     * @param journal told of each start and end of a task
     * @return this
     */
    public StandIns worker(StandInWorker.Settings settings, Consumer<String> journal) {
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread made = new Thread(task, settings.name());
            made.setDaemon(true);
            return made;
        });
        new StandInWorker(settings, announcer(), thread, journal).start();
        return this;
    }

    /**
     * Adds a backend server.
     *
     * @param settings what it announces
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
     * @return all that were added
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
        count++;
        return new Announcer(client, servers, secret, count);
    }
}
