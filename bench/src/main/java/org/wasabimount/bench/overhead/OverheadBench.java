package org.wasabimount.bench.overhead;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.wasabimount.bench.BenchOptions;
import org.wasabimount.bench.cell.CellAccess;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.standin.StandInBackend;
import org.wasabimount.bench.standin.StandInWorker;
import org.wasabimount.bench.standin.StandIns;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.core.cell.Capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What three daemons spend against the number of workers, tasks, requests and changes; four sizes of each.
 *
 * <p>Option: {@code --seconds} for each size.
 */
public final class OverheadBench {

    private static final List<String> DOMAINS = List.of("d1", "d2", "d3");
    private static final int[] WORKERS = {15, 30, 60, 120};
    private static final int[] TASKS = {250, 500, 1_000, 2_000};
    private static final int[] REQUESTS = {100, 200, 400, 800};
    private static final int[] CHANGES = {5, 10, 20, 40};
    private static final int TODAYS_WORKERS = 30;
    private static final long READY_MILLIS = 30_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final double PERCENT = 100;

    private final Path top;
    private final double seconds;
    private final ObjectNode json = new ObjectMapper().createObjectNode();
    private final ObjectNode slopes = json.objectNode();
    private final AtomicInteger nextName = new AtomicInteger();
    private LocalCell cell;
    private CellAccess access;
    private StandIns standIns;

    /**
     * Creates the experiment.
     *
     * @param top the project's folder, built
     * @param options its size
     */
    public OverheadBench(Path top, BenchOptions options) {
        this.top = top;
        this.seconds = options.number("seconds", 6);
    }

    /**
     * Runs the experiment.
     *
     * @return the measured values
     * @throws IOException if a process can't be started or read
     */
    public ObjectNode run() throws IOException {
        StateMemory.measure(slopes);
        cell = LocalCell.of(top, top.resolve("run/bench-overhead"), DOMAINS, 1).start();
        access = new CellAccess(cell);
        standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET);
        try {
            access.awaitReady(READY_MILLIS);
            access.organisation("org", 1);
            measureWorkers();
            measureTasks();
            measureRequests();
            measureChanges();
        } finally {
            standIns.close();
            access.close();
            cell.close();
        }
        json.set("slopes", slopes);
        return json;
    }

    private void measureWorkers() throws IOException {
        Measured measured = new Measured("worker");
        measured.at(0, size -> {});
        int added = 0;
        for (int wanted : WORKERS) {
            for (; added < wanted; added++) {
                standIns.worker(
                        new StandInWorker.Settings(
                                "worker-" + added,
                                DOMAINS.get(added % DOMAINS.size()),
                                "rack-" + added / 8,
                                new Capacity(32_000, 131_072, 0),
                                false),
                        line -> {});
            }
            DaemonCost[] costs = measured.at(wanted, size -> pause(SETTLE_MILLIS));
            if (wanted == TODAYS_WORKERS) {
                json.put("residentMegabytes", costs[1].maxResidentMegabytes());
                json.put("corePercentPerNode", PERCENT * costs[1].coresSince(costs[0]) / DOMAINS.size());
                json.put("bytesPerSecondPerNode", costs[1].peerBytesPerSecondSince(costs[0]) / DOMAINS.size());
                json.put("workerBytesPerSecond", costs[1].httpBytesPerSecondSince(costs[0]) / wanted);
            }
        }
        measured.write();
    }

    private void measureTasks() throws IOException {
        Measured measured = new Measured("task");
        for (int tasks : TASKS) {
            measured.at(tasks, size -> {
                put("services/wide", "{\"taskSize\":{\"cpuMillis\":100},\"taskCount\":" + tasks + "}");
                LocalCell.await(
                        () -> access.status(cell.daemons().get(0))
                                        .path("tasks")
                                        .path("RUNNING")
                                        .asInt()
                                >= tasks,
                        READY_MILLIS * 2);
                pause(SETTLE_MILLIS);
            });
        }
        measured.write();
    }

    private void measureRequests() throws IOException {
        for (int number = 0; number < 2 * DOMAINS.size(); number++) {
            standIns.backend(new StandInBackend.Settings(
                    "backend-" + number,
                    "org",
                    "echo",
                    false,
                    DOMAINS.get(number % DOMAINS.size()),
                    new InetSocketAddress(cell.address(100 + number), 9_100),
                    64,
                    2));
        }
        pause(SETTLE_MILLIS);
        Measured measured = new Measured("request");
        HttpRequest call = CellAccess.message("PUT", "/call/echo/", "body", CellAccess.credential("org"));
        for (int perSecond : REQUESTS) {
            measured.during(
                    perSecond,
                    number ->
                            access.client().send(cell.httpAddresses().get(number % DOMAINS.size()), call, 5_000, true));
        }
        measured.write();
    }

    private void measureChanges() throws IOException {
        Measured measured = new Measured("change");
        for (int perSecond : CHANGES) {
            measured.during(
                    perSecond, number -> access.putBatch("org", "change-" + nextName.incrementAndGet(), number));
        }
        measured.write();
    }

    private void put(String path, String body) {
        HttpRequest put = CellAccess.message("PUT", "/v1/" + path, body, CellAccess.credential("org"));
        access.client().call(cell.httpAddresses().get(0), put, 10_000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The costs of one cause at several sizes. */
    private final class Measured {

        private final String cause;
        private final Slope cores = new Slope();
        private final Slope httpBytes = new Slope();
        private final Slope peerBytes = new Slope();
        private final Slope resident = new Slope();
        private final ArrayNode points = json.arrayNode();

        Measured(String cause) {
            this.cause = cause;
        }

        /** Prepares a size, then measures the daemons at rest. */
        DaemonCost[] at(int size, Consumer<Integer> prepare) throws IOException {
            prepare.accept(size);
            DaemonCost before = DaemonCost.read(access.client(), cell.daemons());
            pause((long) (seconds * 1_000));
            return add(size, before);
        }

        /** Measures while something is done at a rate. */
        void during(int perSecond, Consumer<Integer> action) throws IOException {
            DaemonCost before = DaemonCost.read(access.client(), cell.daemons());
            long startNanos = System.nanoTime();
            for (int number = 0; number < perSecond * seconds; number++) {
                long dueNanos = startNanos + (long) (number * 1e9 / perSecond);
                pause(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                action.accept(number);
            }
            add(perSecond, before);
        }

        private DaemonCost[] add(int size, DaemonCost before) throws IOException {
            DaemonCost after = DaemonCost.read(access.client(), cell.daemons());
            cores.add(size, after.coresSince(before));
            httpBytes.add(size, after.httpBytesPerSecondSince(before));
            peerBytes.add(size, after.peerBytesPerSecondSince(before));
            resident.add(size, after.maxResidentMegabytes());
            points.addObject()
                    .put("size", size)
                    .put("cores", after.coresSince(before))
                    .put("httpBytesPerSecond", after.httpBytesPerSecondSince(before))
                    .put("peerBytesPerSecond", after.peerBytesPerSecondSince(before))
                    .put("residentMegabytes", after.maxResidentMegabytes());
            return new DaemonCost[] {before, after};
        }

        void write() {
            slopes.withObject(cause)
                    .put("coresPerUnit", cores.perUnit())
                    .put("httpBytesPerSecondPerUnit", httpBytes.perUnit())
                    .put("peerBytesPerSecondPerUnit", peerBytes.perUnit())
                    .put("residentMegabytesPerUnit", resident.perUnit())
                    .set("points", points);
            System.out.println(cause + " " + slopes.get(cause));
        }
    }
}
