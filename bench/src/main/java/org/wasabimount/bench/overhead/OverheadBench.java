package org.wasabimount.bench.overhead;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.wasabimount.bench.BenchOptions;
import org.wasabimount.bench.cell.CellClient;
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
 * Measures the resource consumption of three daemons as a function of the number of workers, tasks, requests per second
 * and changes per second, at four sizes of each.
 *
 * <p>Option: {@code --seconds}, the duration of the measurement at each size.
 */
public final class OverheadBench {

    private static final List<String> DOMAINS = List.of("d1", "d2", "d3");
    private static final int[] WORKER_COUNTS = {15, 30, 60, 120};
    private static final int[] TASK_COUNTS = {250, 500, 1_000, 2_000};
    private static final int[] REQUEST_RATES = {100, 200, 400, 800};
    private static final int[] CHANGE_RATES = {5, 10, 20, 40};
    private static final int CURRENT_WORKERS = 30;
    private static final long READY_MILLIS = 30_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final double PERCENT = 100;

    private final Path projectFolder;
    private final double seconds;
    private final ObjectNode json = new ObjectMapper().createObjectNode();
    private final ObjectNode slopes = json.objectNode();
    private final AtomicInteger nextName = new AtomicInteger();
    private LocalCell cell;
    private CellClient cellClient;
    private StandIns standIns;

    /**
     * Creates the experiment.
     *
     * @param projectFolder the project's root folder, already built
     * @param options the options from the command line
     */
    public OverheadBench(Path projectFolder, BenchOptions options) {
        this.projectFolder = projectFolder;
        this.seconds = options.number("seconds", 6);
    }

    /**
     * Runs the experiment.
     *
     * @return the measured values
     * @throws IOException if a process can't be started or its statistics can't be read
     */
    public ObjectNode run() throws IOException {
        StateMemory.measure(slopes);
        cell = LocalCell.of(projectFolder, projectFolder.resolve("run/bench-overhead"), DOMAINS, 1)
                .start();
        cellClient = new CellClient(cell);
        standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET);
        try {
            cellClient.awaitReady(READY_MILLIS);
            cellClient.organisation("org", 1);
            measureWorkers();
            measureTasks();
            measureRequests();
            measureChanges();
        } finally {
            standIns.close();
            cellClient.close();
            cell.close();
        }
        json.set("slopes", slopes);
        return json;
    }

    private void measureWorkers() throws IOException {
        CostSeries series = new CostSeries("worker");
        series.measureAtRest(0, size -> {});
        int addedWorkers = 0;
        for (int workerCount : WORKER_COUNTS) {
            for (; addedWorkers < workerCount; addedWorkers++) {
                standIns.worker(
                        new StandInWorker.Settings(
                                "worker-" + addedWorkers,
                                DOMAINS.get(addedWorkers % DOMAINS.size()),
                                "rack-" + addedWorkers / 8,
                                new Capacity(32_000, 131_072, 0),
                                false),
                        line -> {});
            }
            DaemonCost[] costs = series.measureAtRest(workerCount, size -> pause(SETTLE_MILLIS));
            if (workerCount == CURRENT_WORKERS) {
                json.put("residentMegabytes", costs[1].maxResidentMegabytes());
                json.put("corePercentPerNode", PERCENT * costs[1].coresSince(costs[0]) / DOMAINS.size());
                json.put("bytesPerSecondPerNode", costs[1].peerBytesPerSecondSince(costs[0]) / DOMAINS.size());
                json.put("workerBytesPerSecond", costs[1].httpBytesPerSecondSince(costs[0]) / workerCount);
            }
        }
        series.writeResult();
    }

    private void measureTasks() throws IOException {
        CostSeries series = new CostSeries("task");
        for (int tasks : TASK_COUNTS) {
            series.measureAtRest(tasks, size -> {
                put("services/wide", "{\"taskSize\":{\"cpuMillis\":100},\"taskCount\":" + tasks + "}");
                LocalCell.await(
                        () -> cellClient
                                        .status(cell.daemons().get(0))
                                        .path("tasks")
                                        .path("RUNNING")
                                        .asInt()
                                >= tasks,
                        READY_MILLIS * 2);
                pause(SETTLE_MILLIS);
            });
        }
        series.writeResult();
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
        CostSeries series = new CostSeries("request");
        HttpRequest call = CellClient.httpRequest("PUT", "/call/echo/", "body", CellClient.credential("org"));
        for (int perSecond : REQUEST_RATES) {
            series.measureUnderLoad(
                    perSecond,
                    number -> cellClient
                            .httpClient()
                            .send(cell.httpAddresses().get(number % DOMAINS.size()), call, 5_000, true));
        }
        series.writeResult();
    }

    private void measureChanges() throws IOException {
        CostSeries series = new CostSeries("change");
        for (int perSecond : CHANGE_RATES) {
            series.measureUnderLoad(
                    perSecond, number -> cellClient.putBatch("org", "change-" + nextName.incrementAndGet(), number));
        }
        series.writeResult();
    }

    private void put(String path, String body) {
        HttpRequest put = CellClient.httpRequest("PUT", "/v1/" + path, body, CellClient.credential("org"));
        cellClient.httpClient().call(cell.httpAddresses().get(0), put, 10_000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The measured costs of one cause of load at several sizes. */
    private final class CostSeries {

        private final String cause;
        private final LinearFit cores = new LinearFit();
        private final LinearFit httpBytes = new LinearFit();
        private final LinearFit peerBytes = new LinearFit();
        private final LinearFit resident = new LinearFit();
        private final ArrayNode points = json.arrayNode();

        CostSeries(String cause) {
            this.cause = cause;
        }

        /** Prepares a size, then measures the daemons while no requests are sent. */
        DaemonCost[] measureAtRest(int size, Consumer<Integer> prepare) throws IOException {
            prepare.accept(size);
            DaemonCost before = DaemonCost.read(cellClient.httpClient(), cell.daemons());
            pause((long) (seconds * 1_000));
            return add(size, before);
        }

        /** Measures the daemons while an action is repeated at a given rate. */
        void measureUnderLoad(int perSecond, Consumer<Integer> action) throws IOException {
            DaemonCost before = DaemonCost.read(cellClient.httpClient(), cell.daemons());
            long startNanos = System.nanoTime();
            for (int number = 0; number < perSecond * seconds; number++) {
                long dueNanos = startNanos + (long) (number * 1e9 / perSecond);
                pause(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                action.accept(number);
            }
            add(perSecond, before);
        }

        private DaemonCost[] add(int size, DaemonCost before) throws IOException {
            DaemonCost after = DaemonCost.read(cellClient.httpClient(), cell.daemons());
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

        void writeResult() {
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
