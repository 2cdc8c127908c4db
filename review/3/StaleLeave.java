import java.util.ArrayList;
import java.util.List;

/**
 * A worker leaves while one control process stands still, and starts again under its id. The leave that it sent to that
 * process first is handled when the process goes on.
 */
public final class StaleLeave implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";

    /** How long the control process stands still, in milliseconds; the site's days have 4.0 to 7.4 s. */
    private static final long FREEZE_MILLIS = 4_000;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            Worker first = new Worker(cell, runs, record, "w0", cell.worker(0));
            workers.add(first);
            workers.add(new Worker(cell, runs, record, "w1", cell.worker(1)));
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));
            int leader = cell.leader();
            int follower = cell.follower();
            record.line("control" + leader + " leads, control" + follower + " follows");

            first.drain();
            cell.await("draining is acknowledged", 5_000, first::drainAcknowledged);
            Cell.pause(2_000);
            long frozenMillis = record.millis();
            if (trouble) {
                cell.signal("control" + follower, "STOP");
            }
            boolean left = leave(cell, record, follower) || leave(cell, record, leader);
            if (!left) {
                throw new IllegalStateException("no process has acknowledged the leave");
            }
            first.end("left");
            Cell.pause(500);
            Worker second = new Worker(cell, runs, record, "w0", cell.worker(0));
            workers.add(second);
            cell.await("the worker is known again", 5_000, second::acknowledged);
            // The short job fills one worker, so that the long one runs on the other.
            cell.client(0, "POST", "h.example", "/q/5c0e7a21d94b36f0", job(1_500));
            cell.client(0, "POST", "h.example", "/q/5c0e7a21d94b36f1", job(8_000));
            cell.await("tasks run on the worker", 5_000, () -> !runs.runningOn("w0").isEmpty());
            Cell.pause(Math.max(0, frozenMillis + FREEZE_MILLIS - record.millis()));
            if (trouble) {
                cell.signal("control" + follower, "CONT");
            }
            Cell.pause(4_000);
            cell.recordLogs("WORKER ended", "WORKER gone");
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
        return !runs.overlaps().isEmpty();
    }

    private static String job(long workMillis) {
        return "{\"spec\":\"work-ms=" + workMillis + "\",\"steps\":[{\"count\":2,\"cpu\":3000,\"mem-mb\":100,"
                + "\"estimate-ms\":" + workMillis + "}]}";
    }

    private static boolean leave(Cell cell, Record record, int control) {
        int status = cell.call("POST", cell.control(control), cell.control(control), "/v1/instances/w0/leave", "")
                .status();
        record.line("worker: leave w0 to control" + control + " -> " + status);
        return status == 200;
    }
}
