import java.nio.file.Path;

/**
 * A client of one queue cancels a job that was never accepted there. A job of another queue with the same id, which is
 * accepted later and which nobody cancels, must run.
 */
final class ForeignCancel {

    private static final int MINIONS = 6;
    private static final String OTHER_HOST = "ficu95.example";
    private static final String OTHER_PREFIX = "/pufi791/";
    private static final long WORK_MILLIS = 500;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Cell cell = new Cell(record, 3, 2)) {
            cell.start();
            status = run(cell, trouble);
            record.line("result " + status);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }

    private static int run(Cell cell, boolean trouble) throws Exception {
        Record record = cell.record;
        Site site = new Site(cell);
        site.configure(7, 2, OTHER_HOST, OTHER_PREFIX);
        for (int i = 0; i < MINIONS; i++) {
            site.minions.add(site.minion(i));
        }
        Thread.sleep(3_000);
        String id = Site.newId();
        String job = "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[{\"count\":2,\"cpu\":5600,\"mem-mb\":10000,\"estimate-ms\":"
                + WORK_MILLIS + "}]}";
        if (trouble) {
            // The submission of this client was lost on its way; it gives up and cancels.
            Http.Answer answer = Http.call("DELETE", site.front(0), OTHER_PREFIX + id, OTHER_HOST, null, 3_000);
            record.line("DELETE " + OTHER_HOST + OTHER_PREFIX + id + " -> " + answer.status() + " " + answer.body());
            if (answer.status() != 410) {
                return 2;
            }
        }
        Thread.sleep(1_000);
        record.line("POST to " + Site.HOST + Site.PREFIX);
        if (!site.submit(id, job)) {
            return 2;
        }
        String last = "";
        long until = System.currentTimeMillis() + 20_000;
        while (System.currentTimeMillis() < until) {
            String state = site.stateOf(id);
            if (!state.equals(last)) {
                record.line("GET " + Site.HOST + Site.PREFIX + id + " -> " + state);
                last = state;
            }
            if (state.equals("cancelled")) {
                record.line("BROKEN: nobody has sent a DELETE for the job of this queue");
                return 1;
            }
            if (state.equals("completed")) {
                return 0;
            }
            Thread.sleep(100);
        }
        return 2;
    }
}
