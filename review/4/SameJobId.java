import java.util.ArrayList;
import java.util.List;

/** Clients of two queues choose the same job id. The second job is accepted and shown as completed, and never runs. */
public final class SameJobId implements Case.Steps {

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"ra\",\"host\":\"a.example\","
            + "\"path-prefix\":\"/qa/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4},{\"name\":\"rb\",\"host\":\"b.example\","
            + "\"path-prefix\":\"/qb/\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
            + "\"service\":\"pool\",\"max-attempts\":4,\"stretch\":4}],"
            + "\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    private static final String ID = "0000000000000001";
    private static final String OTHER_ID = "0000000000000002";
    private static final long FINISH_MILLIS = 14_000;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        Runs runs = new Runs(record);
        List<Worker> workers = new ArrayList<>();
        try (Cell cell = new Cell(record, 1)) {
            cell.start(CONFIGURATION);
            workers.add(new Worker(cell, runs, record, "w0", cell.worker(0)));
            workers.add(new Worker(cell, runs, record, "w1", cell.worker(1)));
            cell.await("the workers are known", 10_000, () -> workers.stream().allMatch(Worker::acknowledged));

            submit(cell, "a.example", "/qa/" + ID, "tenant a, work-ms=500");
            String idOfB = trouble ? ID : OTHER_ID;
            boolean accepted = submit(cell, "b.example", "/qb/" + idOfB, "tenant b, work-ms=500");
            cell.await("the job of a is completed", FINISH_MILLIS, () -> cell.state(0, "a.example", "/qa/" + ID)
                    .equals("completed"));
            Cell.pause(FINISH_MILLIS);
            String state = cell.state(0, "b.example", "/qb/" + idOfB);
            long runsOfB = runs.ofJob(idOfB).stream()
                    .filter(run -> run.spec.startsWith("tenant b"))
                    .count();
            record.line("client: GET b.example/qb/" + idOfB + " -> " + state + "; runs with its spec: " + runsOfB);
            // Refusing the second job would break no rule.
            return accepted && runsOfB == 0;
        } finally {
            workers.forEach(worker -> worker.end("end of the case"));
        }
    }

    private static boolean submit(Cell cell, String host, String path, String spec) {
        String job = "{\"spec\":\"" + spec
                + "\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":500}]}";
        return cell.client(0, "POST", host, path, job).status() == 200;
    }
}
