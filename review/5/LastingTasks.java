import java.util.ArrayList;
import java.util.List;

/** The tasks of a long-running job end by themselves, as {@code done}. They are not started again. */
public final class LastingTasks implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    private static final String JOB = "5c0e7a21d94b36f0";
    private static final int TASKS = 2;

    /** How long the tasks may be down, in milliseconds: the rule's 6 s after the last run and 3 s. */
    private static final long MAX_DOWN_MILLIS = 9_000;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            for (int number = 0; number < 3; number++) {
                workers.add(new Worker(
                        cell, runs, record, "w" + number, cell.worker(number), trouble ? "done" : "failed"));
            }
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));
            int status = cell.client(
                            0,
                            "POST",
                            "h.example",
                            "/q/" + JOB,
                            "{\"spec\":\"work-ms=3000\",\"steps\":[{\"count\":" + TASKS
                                    + ",\"cpu\":1000,\"mem-mb\":100,\"long-running\":true}]}")
                    .status();
            if (status != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            cell.await("the tasks have started", 5_000, () -> runs.ofJob(JOB).size() == TASKS);
            cell.await("the first runs have ended", 10_000, () -> runs.ofJob(JOB).stream()
                    .limit(TASKS)
                    .noneMatch(Runs.Run::running));
            long untilMillis = record.millis() + 2 * MAX_DOWN_MILLIS;
            while (runs.ofJob(JOB).size() < 2 * TASKS && record.millis() < untilMillis) {
                Cell.pause(100);
            }
            boolean restarted = runs.ofJob(JOB).size() >= 2 * TASKS;
            record.line("client: GET h.example/q/" + JOB + " -> " + cell.state(0, "h.example", "/q/" + JOB)
                    + "; started again: " + restarted);
            return !restarted;
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
    }
}
