import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A minion leaves its first start orders for a task unanswered and announces meanwhile that it drains. No task may be
 * started on it later than "drain-ms" after that is acknowledged.
 */
final class DrainRetry {

    private static final int MINIONS = 16;
    private static final int UNANSWERED = 3;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long WORK_MILLIS = 400;

    /** When an order without an answer is carried out: 2 to 12 s later. */
    private static final long LATE_MILLIS = 10_000;

    private static final int OTHER_JOBS = 60;

    private static final AtomicInteger ORDERS = new AtomicInteger();
    private static volatile String watched = "none";
    private static volatile Leaving leaving;

    private static final class Leaving extends Minion {
        private final boolean trouble;
        private final AtomicInteger attempts = new AtomicInteger();
        volatile long acknowledgedMillis;
        volatile long lateMillis;

        Leaving(Site site, int number, boolean trouble) throws Exception {
            super(site.record, "i-" + number, site.cell.net + (100 + number), Site.SERVICE,
                    "pl-central-" + (char) ('a' + number % 3), "r1-" + number / 8, site.controlAddresses());
            this.trouble = trouble;
        }

        @Override
        boolean answersStart(String task, int run) {
            ORDERS.incrementAndGet();
            if (!task.startsWith(watched)) {
                return true;
            }
            synchronized (DrainRetry.class) {
                if (leaving == null) {
                    leaving = this;
                }
            }
            if (leaving != this) {
                return true;
            }
            int attempt = attempts.incrementAndGet();
            draining = true;
            boolean answered = !trouble || attempt > UNANSWERED;
            record.line("minion " + id + " gets start " + attempt + " of " + task + " run " + run
                    + (answered ? "" : ", does not answer and carries it out " + LATE_MILLIS + " ms later"));
            if (!answered) {
                try {
                    Thread.sleep(LATE_MILLIS);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            return true;
        }

        @Override
        long failsAfterMillis(String task, int run) {
            long now = System.currentTimeMillis();
            if (acknowledgedMillis > 0 && now - acknowledgedMillis > DRAIN_MILLIS) {
                lateMillis = now - acknowledgedMillis;
                record.line("BROKEN: minion " + id + " starts " + task + " " + lateMillis
                        + " ms after the acknowledgement that it drains");
            }
            return -1;
        }

        @Override
        void acknowledged(boolean sentDraining) {
            if (sentDraining && acknowledgedMillis == 0) {
                acknowledgedMillis = System.currentTimeMillis();
                record.line("minion " + id + " has the acknowledgement that it drains");
            }
        }
    }

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
            site.minions.add(new Leaving(site, i, trouble));
            site.minions.get(i).quiet = true;
        }
        Thread.sleep(4_000);
        String job = "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[{\"count\":1,\"cpu\":5600,\"mem-mb\":10000,\"estimate-ms\":"
                + WORK_MILLIS + "}]}";
        List<String> others = new ArrayList<>();
        for (int i = 0; i < OTHER_JOBS; i++) {
            String id = Site.newId();
            if (Http.call("POST", site.front(i), Site.PREFIX + id, Site.HOST, job, 3_000).status() == 200) {
                others.add(id);
            }
            Thread.sleep(50);
        }
        watched = Site.newId();
        if (!site.submit(watched, job)) {
            return 2;
        }
        long until = System.currentTimeMillis() + 9_000;
        String state = "";
        while (System.currentTimeMillis() < until && !state.equals("completed")) {
            state = site.stateOf(watched);
            Thread.sleep(100);
        }
        record.line("GET " + watched + " -> " + state + "; " + ORDERS + " start orders in all, "
                + (trouble ? UNANSWERED : 0) + " without an answer");
        if (leaving == null || leaving.acknowledgedMillis == 0) {
            return 2;
        }
        return leaving.lateMillis > 0 ? 1 : 0;
    }
}
