import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The task of a long-running job fails while many small jobs come; it has to be started again in time. */
final class LastingWaits {

    private static final int MINIONS = 8;
    private static final int JOBS_A_SECOND = 44;
    private static final long LOAD_MILLIS = 45_000;

    /** From 6 s after its last run, it must not be idle for 3 s. */
    private static final long RESTART_MILLIS = 9_000;

    private static final AtomicInteger STARTS = new AtomicInteger();
    private static final AtomicLong END_MILLIS = new AtomicLong();
    private static volatile String lasting = "none";

    private static final class ServingMinion extends Minion {
        ServingMinion(Site site, int number) throws Exception {
            super(site.record, "i-" + number, site.cell.net + (100 + number), Site.SERVICE,
                    "pl-central-" + (char) ('a' + number % 3), "r1-" + number / 8, site.controlAddresses());
            quiet = true;
        }

        @Override
        long failsAfterMillis(String task, int run) {
            if (!task.startsWith(lasting)) {
                return -1;
            }
            STARTS.incrementAndGet();
            record.line("minion " + id + " starts " + task + " run " + run);
            return run == 1 ? 12_000 : -1;
        }

        @Override
        void ended(String task, int run, String how) {
            if (task.startsWith(lasting)) {
                END_MILLIS.set(System.currentTimeMillis());
                record.line("minion " + id + " ends " + task + " run " + run + " " + how);
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Cell cell = new Cell(record, 3, 3)) {
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
        site.configure(7, 4);
        for (int i = 0; i < MINIONS; i++) {
            site.minions.add(new ServingMinion(site, i));
        }
        Thread.sleep(4_000);
        lasting = Site.newId();
        if (!site.submit(lasting, "{\"spec\":\"600000\",\"steps\":[{\"count\":1,\"cpu\":30000,\"mem-mb\":30000,"
                + "\"estimate-ms\":1000,\"long-running\":true}]}")) {
            return 2;
        }
        Thread.sleep(2_000);
        ExecutorService clients = Executors.newFixedThreadPool(32);
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        long loadStart = System.currentTimeMillis();
        int number = 0;
        long idleMillis = 0;
        while (System.currentTimeMillis() - loadStart < LOAD_MILLIS) {
            int k = number++;
            if (trouble || k % 8 == 0) {
                clients.execute(() -> {
                    int status = Http.call("POST", site.front(k), Site.PREFIX + Site.newId(), Site.HOST,
                            "{\"spec\":\"1000\",\"steps\":[{\"count\":2,\"cpu\":5600,\"mem-mb\":10000,\"estimate-ms\":1000}]}",
                            3_000).status();
                    (status == 200 ? accepted : refused).incrementAndGet();
                });
            }
            long end = END_MILLIS.get();
            if (end > 0 && STARTS.get() < 2) {
                idleMillis = System.currentTimeMillis() - end;
            }
            long next = loadStart + number * 1000L / JOBS_A_SECOND;
            Thread.sleep(Math.max(0, next - System.currentTimeMillis()));
            if (number % (5 * JOBS_A_SECOND) == 0) {
                int running = site.minions.stream().mapToInt(minion -> minion.tasks().size()).sum();
                record.line(accepted + " jobs accepted, " + refused + " refused, " + running + " tasks at work, of "
                        + MINIONS * 11);
            }
        }
        clients.shutdownNow();
        record.line("the task that lasts was started " + STARTS + " times, idle for " + idleMillis + " ms after its failure");
        if (END_MILLIS.get() == 0) {
            return 2;
        }
        return idleMillis > RESTART_MILLIS ? 1 : 0;
    }
}
