import java.util.ArrayList;
import java.util.List;

/**
 * One worker of eight after the other crashes and is back a second later, for half a minute. A job whose tasks take ten
 * seconds is given up, though no run of it has failed.
 */
public final class CrashedWorkers implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    private static final String JOB = "5c0e7a21d94b36f0";
    private static final int WORKERS = 8;

    /** Number of crashes; a day has forty disruptions at most. */
    private static final int CRASHES = 30;

    private static final long DOWN_MILLIS = 1_000;
    private static final long UP_MILLIS = 200;

    /** Time after the last crash in which the job is completed, in milliseconds: its tasks take ten seconds. */
    private static final long FINISH_MILLIS = 40_000;

    private int lives;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            for (int number = 0; number < WORKERS; number++) {
                workers.add(newWorker(cell, runs, record, number));
            }
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));
            int status = cell.client(0, "POST", "h.example", "/q/" + JOB, job()).status();
            if (status != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            cell.await("the job has started", 5_000, () -> !runs.ofJob(JOB).isEmpty());
            for (int crash = 0; crash < (trouble ? CRASHES : 0) && !over(cell); crash++) {
                int number = crash % WORKERS;
                workers.get(number).end("crash");
                Cell.pause(DOWN_MILLIS);
                workers.set(number, newWorker(cell, runs, record, number));
                Cell.pause(UP_MILLIS);
            }
            long untilMillis = record.millis() + FINISH_MILLIS;
            while (!over(cell) && record.millis() < untilMillis) {
                Cell.pause(100);
            }
            String state = cell.state(0, "h.example", "/q/" + JOB);
            long failed = runs.ofJob(JOB).stream()
                    .filter(run -> run.how.equals("failed"))
                    .count();
            record.line("client: GET h.example/q/" + JOB + " -> " + state + "; runs that ended failed: " + failed);
            cell.recordLogs("JOB ended");
            if (!state.equals("failed") && !state.equals("completed")) {
                throw new IllegalStateException("the job is " + state);
            }
            return state.equals("failed") && failed == 0;
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
    }

    private Worker newWorker(Cell cell, Runs runs, Record record, int number) throws Exception {
        return new Worker(cell, runs, record, "w" + ++lives, cell.worker(number));
    }

    private static boolean over(Cell cell) {
        String state = cell.state(0, "h.example", "/q/" + JOB);
        return state.equals("failed") || state.equals("completed");
    }

    private static String job() {
        return "{\"spec\":\"work-ms=10000\",\"steps\":[{\"count\":4,\"cpu\":4000,\"mem-mb\":100,\"estimate-ms\":10000}]}";
    }
}
