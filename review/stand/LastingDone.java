import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The task of a long-running job ends; it has to be started again, however it has ended. */
final class LastingDone {

    private static final int MINIONS = 6;
    private static final long WORK_MILLIS = 3_000;

    /** "From 6 s after its last run", and 3 s in which it must not be idle. */
    private static final long RESTART_MILLIS = 9_000;

    private static final AtomicInteger STARTS = new AtomicInteger();
    private static final AtomicLong LAST_END_MILLIS = new AtomicLong();

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
        site.configure(7, 2);
        for (int i = 0; i < MINIONS; i++) {
            site.minions.add(new Minion(record, "i-" + i, cell.net + (100 + i), Site.SERVICE,
                    "pl-central-" + (char) ('a' + i % 3), "r1-" + i / 8, site.controlAddresses()) {
                @Override
                long failsAfterMillis(String task, int run) {
                    STARTS.incrementAndGet();
                    return trouble ? -1 : WORK_MILLIS;
                }

                @Override
                void ended(String task, int run, String how) {
                    LAST_END_MILLIS.set(System.currentTimeMillis());
                }
            });
        }
        Thread.sleep(3_000);
        String id = Site.newId();
        if (!site.submit(id, "{\"spec\":\"" + WORK_MILLIS
                + "\",\"steps\":[{\"count\":1,\"cpu\":5600,\"mem-mb\":10000,\"estimate-ms\":1000,\"long-running\":true}]}")) {
            return 2;
        }
        String last = "";
        long until = System.currentTimeMillis() + 40_000;
        while (System.currentTimeMillis() < until) {
            String state = site.stateOf(id);
            if (!state.equals(last)) {
                record.line("GET " + id + " -> " + state);
                last = state;
            }
            boolean idle = site.minions.stream().allMatch(minion -> minion.tasks().isEmpty());
            if (STARTS.get() > 0 && idle && System.currentTimeMillis() - LAST_END_MILLIS.get() > RESTART_MILLIS) {
                record.line("the task has not been started again for " + RESTART_MILLIS + " ms, nobody has cancelled");
                return 1;
            }
            if (STARTS.get() >= 4) {
                return 0;
            }
            Thread.sleep(100);
        }
        return 2;
    }
}
