package org.wasabimount.bench.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wasabimount.bench.BenchOptions;
import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Measures the replicated log of three daemons: the rate and latency of writes, the time without a leader after a leader
 * is killed, acknowledged writes that were lost, and the time that a daemon takes to restart.
 *
 * <p>Options: {@code --writers}, {@code --writes}, {@code --kills}, {@code --records}.
 */
public final class LogBench {

    private static final int SYNC_COUNT = 200;
    private static final int CONCURRENT_READS = 64;
    private static final int SYNC_BYTES = 512;
    private static final long MAX_MICROS = 60_000_000;
    private static final long READY_MILLIS = 30_000;
    private static final long PROBE_TIMEOUT_MILLIS = 400;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final Path projectFolder;
    private final BenchOptions options;
    private final Histogram ackMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram leaderlessMillis = new Histogram(MAX_MICROS, 3);
    private final Set<String> acknowledgedBatches = ConcurrentHashMap.newKeySet();

    /**
     * Creates the experiment.
     *
     * @param projectFolder the project's root folder, already built
     * @param options the options from the command line
     */
    public LogBench(Path projectFolder, BenchOptions options) {
        this.projectFolder = projectFolder;
        this.options = options;
    }

    /**
     * Runs the experiment.
     *
     * @return the measured values
     * @throws IOException if a process can't be started
     */
    public ObjectNode run() throws IOException {
        Path folder = projectFolder.resolve("run/bench-log");
        ObjectNode json = new ObjectMapper().createObjectNode();
        try (LocalCell cell = LocalCell.of(projectFolder, folder, List.of("d1", "d2", "d3"), 1)
                        .start();
                CellClient cellClient = new CellClient(cell)) {
            cellClient.awaitReady(READY_MILLIS);
            cellClient.organisation("org", 1);
            Histogram syncs = measureSyncs(folder);
            double seconds = append(cellClient, (int) options.number("writes", 20_000), "w");
            json.put("writers", options.number("writers", 64))
                    .put("appendsPerSecond", Math.round(ackMicros.getTotalCount() / seconds))
                    .put("ackP50Micros", ackMicros.getValueAtPercentile(50))
                    .put("ackP99Micros", ackMicros.getValueAtPercentile(99))
                    .put("syncP50Micros", syncs.getValueAtPercentile(50) / NANOS_PER_MICRO);
            measureKills(cell, cellClient, (int) options.number("kills", 20));
            json.put("leaderlessP50Millis", leaderlessMillis.getValueAtPercentile(50))
                    .put("leaderlessP99Millis", leaderlessMillis.getValueAtPercentile(99))
                    .put("kills", leaderlessMillis.getTotalCount())
                    .put("lost", countLost(cellClient));
            measureRestart(cell, cellClient, json);
        }
        return json;
    }

    /** Measures the latency of a single sync on the same disk, without other load. */
    private static Histogram measureSyncs(Path folder) throws IOException {
        Histogram nanos = new Histogram(MAX_MICROS * 1_000, 3);
        Path file = folder.resolve("sync-probe");
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (int sync = 0; sync < SYNC_COUNT; sync++) {
                long beforeNanos = System.nanoTime();
                channel.write(ByteBuffer.allocate(SYNC_BYTES));
                channel.force(false);
                nanos.recordValue(System.nanoTime() - beforeNanos);
            }
        }
        Files.delete(file);
        return nanos;
    }

    /** Writes with concurrent writers and returns the elapsed time in seconds. */
    private double append(CellClient cellClient, int writes, String prefix) {
        AtomicInteger nextNumber = new AtomicInteger();
        int writers = (int) options.number("writers", 64);
        CountDownLatch finishedWriters = new CountDownLatch(writers);
        long startNanos = System.nanoTime();
        for (int writer = 0; writer < writers; writer++) {
            appendNext(cellClient, nextNumber, writes, prefix, finishedWriters);
        }
        try {
            finishedWriters.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private void appendNext(
            CellClient cellClient,
            AtomicInteger nextNumber,
            int writes,
            String prefix,
            CountDownLatch finishedWriters) {
        int number = nextNumber.getAndIncrement();
        if (number >= writes) {
            finishedWriters.countDown();
            return;
        }
        String name = prefix + number;
        long beforeNanos = System.nanoTime();
        cellClient.putBatch("org", name, number).thenAccept(result -> {
            if (result.hasStatus(200)) {
                ackMicros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - beforeNanos) / 1_000));
                acknowledgedBatches.add(name);
            }
            appendNext(cellClient, nextNumber, writes, prefix, finishedWriters);
        });
    }

    private void measureKills(LocalCell cell, CellClient cellClient, int kills) throws IOException {
        for (int kill = 0; kill < kills; kill++) {
            String name = "kill" + kill;
            LocalDaemon leader = cellClient.leader();
            List<LocalDaemon> followers =
                    cell.daemons().stream().filter(daemon -> daemon != leader).toList();
            long beforeNanos = System.nanoTime();
            leader.kill();
            AtomicLong attempts = new AtomicLong();
            HttpResult result;
            do {
                LocalDaemon target = followers.get((int) (attempts.incrementAndGet() % followers.size()));
                result = cellClient.putBatchAt(target, "org", name, kill, PROBE_TIMEOUT_MILLIS);
            } while (!result.hasStatus(200));
            leaderlessMillis.recordValue((System.nanoTime() - beforeNanos) / 1_000_000);
            acknowledgedBatches.add(name);
            leader.start();
            cellClient.awaitReady(READY_MILLIS);
        }
    }

    private long countLost(CellClient cellClient) {
        List<String> names = List.copyOf(acknowledgedBatches);
        long lost = 0;
        for (int from = 0; from < names.size(); from += CONCURRENT_READS) {
            List<CompletableFuture<Boolean>> reads =
                    names.subList(from, Math.min(names.size(), from + CONCURRENT_READS)).stream()
                            .map(name -> cellClient.hasBatch("org", name))
                            .toList();
            lost += reads.stream().filter(found -> !found.join()).count();
        }
        return lost;
    }

    /** Fills the cell up to a number of records and measures how long a restarted follower takes to become ready. */
    private void measureRestart(LocalCell cell, CellClient cellClient, ObjectNode json) throws IOException {
        int records = (int) options.number("records", 100_000);
        append(cellClient, records - acknowledgedBatches.size(), "r");
        LocalDaemon daemon = cell.daemons().stream()
                .filter(candidate -> candidate != cellClient.leader())
                .findFirst()
                .orElseThrow();
        daemon.kill();
        long beforeNanos = System.nanoTime();
        daemon.start();
        boolean ready = cell.awaitReady(cellClient.httpClient(), List.of(daemon.name()), READY_MILLIS);
        long tookMillis = (System.nanoTime() - beforeNanos) / 1_000_000;
        json.put("records", acknowledgedBatches.size());
        if (ready) {
            json.put("restartMillis", tookMillis);
        } else {
            json.putNull("restartMillis");
        }
    }
}
