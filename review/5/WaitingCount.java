import java.util.ArrayList;
import java.util.List;

/** Half of the workers leave their orders unanswered. The jobs placed there have not begun, and are not counted as waiting. */
public final class WaitingCount implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    private static final int WORKERS = 4;
    private static final int JOBS = 8;

    /** After which time the orders are carried out; the kind {@code applied_late} has 2 to 12 s. */
    private static final long LATE_MILLIS = 9_000;

    /** From the rule: {@code visible_ms} and 2 s; then the count is read for some seconds. */
    private static final long VISIBLE_MILLIS = 5_000;

    private static final long READ_MILLIS = 3_000;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            for (int number = 0; number < WORKERS; number++) {
                workers.add(new Worker(cell, runs, record, "w" + number, cell.worker(number)));
            }
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));
            for (int number = 0; trouble && number < WORKERS / 2; number++) {
                workers.get(number).leaveStartsUnanswered(LATE_MILLIS);
            }
            List<String> accepted = new ArrayList<>();
            for (int number = 0; number < JOBS; number++) {
                String id = String.format("%016x", number + 1);
                String job = "{\"spec\":\"work-ms=20000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem-mb\":100,"
                        + "\"estimate-ms\":20000}]}";
                if (cell.client(0, "POST", "h.example", "/q/" + id, job).status() == 200) {
                    accepted.add(id);
                }
            }
            Cell.pause(VISIBLE_MILLIS + 500);
            boolean broken = false;
            long untilMillis = record.millis() + READ_MILLIS;
            while (record.millis() < untilMillis) {
                Http.Response response = cell.client(0, "GET", "h.example", "/q/", "");
                long waiting = Json.read(response.body()).path("waiting").asLong(-1);
                long notBegun = accepted.stream()
                        .filter(id -> runs.ofJob(id).isEmpty())
                        .count();
                record.line("jobs that have not begun: " + notBegun + ", said to wait: " + waiting);
                broken |= response.status() == 200 && 2 * waiting < notBegun;
                Cell.pause(500);
            }
            return broken;
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
    }
}
