import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Another writer sends a heartbeat with a service that the configuration doesn't name, and the address of a worker. The
 * worker's tasks are started again elsewhere while they work.
 */
public final class ForeignHeartbeat implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    private static final String JOB = "5c0e7a21d94b36f0";

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            workers.add(new Worker(cell, runs, record, "w0", cell.worker(0)));
            workers.add(new Worker(cell, runs, record, "w1", cell.worker(1)));
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));
            cell.client(
                    0,
                    "POST",
                    "h.example",
                    "/q/" + JOB,
                    "{\"spec\":\"work-ms=6000\",\"steps\":[{\"count\":2,\"cpu\":3000,\"mem-mb\":100,"
                            + "\"estimate-ms\":6000}]}");
            cell.await("the job runs", 5_000, () -> runs.ofJob(JOB).size() == 2);
            Cell.pause(1_000);
            int busy = runs.runningOn("w0").isEmpty() ? 1 : 0;
            if (trouble) {
                sendForeignHeartbeat(cell, record, cell.worker(busy));
            }
            Cell.pause(8_000);
            cell.recordLogs("WORKER ended", "WORKER gone");
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
        return !runs.overlaps().isEmpty();
    }

    private static void sendForeignHeartbeat(Cell cell, Record record, String address) {
        ObjectNode heartbeat = Json.object()
                .put("service", "log-shipper")
                .put("address", address)
                .put("zone", "zone-a")
                .put("version", "v1")
                .put("capacity", 1)
                .put("state", "ready")
                .put("cold-left-ms", 0)
                .put("clock-ms", 1_000)
                .put("sequence", 1)
                .put("born", System.currentTimeMillis());
        heartbeat.putObject("headroom").put("cpu", 1_000).put("mem-mb", 1_000).put("gpu", 0);
        heartbeat.putArray("labels").add("a").add("r1-1");
        String path = "/v1/instances/shipper-1/heartbeat";
        int status = cell.call("POST", cell.control(0), cell.control(0), path, heartbeat.toString())
                .status();
        record.line("another writer: " + path + " " + heartbeat + " -> " + status);
    }
}
