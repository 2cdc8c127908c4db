import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients hand in jobs that are due in an hour; all accepted jobs must be known afterwards. */
final class TimedJobs {

    private static final int MINIONS = 8;
    private static final int JOBS_A_SECOND = 39;

    /** The rate without the disruption. */
    private static final int FEW_JOBS_A_SECOND = 2;

    private static final int SUBMIT_SECONDS = 50;
    private static final int TIMES = 8;
    private static final int STEPS = 3;
    private static final int TASKS = 48;
    private static final int FINISH_SECONDS = 14;
    private static final int ASK_SECONDS = 14;
    private static final int CLIENTS = 32;


    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Cell cell = new Cell(record, 3, 3)) {
            cell.start();
            status = run(cell, trouble);
            for (Cell.Node node : cell.controls) {
                record.line("control " + node.ip + (node.alive() ? " is alive" : " ended, status " + node.process.exitValue())
                        + ", led in " + node.lines("LEAD term=").size() + " terms");
            }
            record.line("result " + status);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }

    private static String job(long dueMillis) {
        StringBuilder steps = new StringBuilder();
        for (int step = 0; step < STEPS; step++) {
            steps.append(step == 0 ? "" : ",")
                    .append("{\"count\":" + TASKS + ",\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":100"
                            + (step == 0 ? "" : ",\"after\":[" + (step - 1) + "]") + "}");
        }
        return "{\"spec\":\"100\",\"times\":" + TIMES + ",\"start-at-ms\":" + dueMillis
                + ",\"interval-ms\":60000,\"steps\":[" + steps + "]}";
    }

    private static int run(Cell cell, boolean trouble) throws Exception {
        Record record = cell.record;
        Site site = new Site(cell);
        site.configure(7, 2);
        for (int i = 0; i < MINIONS; i++) {
            site.minions.add(site.minion(i));
            site.minions.get(i).quiet = true;
        }
        Thread.sleep(3_000);
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unclear = new AtomicInteger();
        long dueMillis = System.currentTimeMillis() + 3_600_000;
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        long startNanos = System.nanoTime();
        int rate = trouble ? JOBS_A_SECOND : FEW_JOBS_A_SECOND;
        for (int i = 0; i < rate * SUBMIT_SECONDS; i++) {
            long dueNanos = startNanos + i * 1_000_000_000L / rate;
            int number = i;
            clients.execute(() -> {
                sleepUntil(dueNanos);
                if (System.nanoTime() - dueNanos > 10_000_000_000L) {
                    return;
                }
                String id = Site.newId();
                Http.Answer answer = Http.call(
                        "POST", site.front(number), Site.PREFIX + id, Site.HOST, job(dueMillis), 3_000);
                if (answer.status() == 200) {
                    accepted.add(id);
                } else if (answer.status() == 503 || answer.status() == 429) {
                    refused.incrementAndGet();
                } else {
                    unclear.incrementAndGet();
                }
            });
        }
        clients.shutdown();
        Thread platform = new Thread(() -> restartEnded(cell), "platform");
        platform.setDaemon(true);
        platform.start();
        while (!clients.awaitTermination(10, TimeUnit.SECONDS)) {
            record.line("POST: " + accepted.size() + " accepted, " + refused + " refused, " + unclear
                    + " without a clear answer");
        }
        record.line("POST: " + accepted.size() + " accepted, " + refused + " refused, " + unclear
                + " without a clear answer; the clients stop");
        Thread.sleep(FINISH_SECONDS * 1000L);
        return ask(site, accepted);
    }

    /** Starts processes that have ended by themselves again after a second, as the platform does. */
    private static void restartEnded(Cell cell) {
        try {
            while (true) {
                for (Cell.Node node : cell.controls) {
                    if (!node.alive()) {
                        cell.record.line("control " + node.ip + " has ended by itself, status " + node.process.exitValue());
                        Thread.sleep(1_000);
                        node.start();
                    }
                }
                Thread.sleep(200);
            }
        } catch (Exception e) {
            cell.record.line("no more restarts: " + e);
        }
    }

    /** Asks all nodes for accepted jobs; each must be known by one of them. */
    private static int ask(Site site, List<String> accepted) throws Exception {
        Record record = site.record;
        List<String> asked = new ArrayList<>(accepted);
        Collections.shuffle(asked);
        asked = asked.subList(0, Math.min(9, asked.size()));
        long until = System.currentTimeMillis() + ASK_SECONDS * 1000L;
        ExecutorService clients = Executors.newFixedThreadPool(asked.size());
        AtomicInteger known = new AtomicInteger();
        AtomicInteger gone = new AtomicInteger();
        for (String id : asked) {
            clients.execute(() -> {
                for (int i = 0; System.currentTimeMillis() < until; i++) {
                    Http.Answer answer = site.state(id, i);
                    record.line("GET " + id + " -> " + answer.status() + " " + answer.body());
                    if (answer.status() == 200) {
                        known.incrementAndGet();
                        return;
                    }
                    if (answer.status() == 410) {
                        gone.incrementAndGet();
                        return;
                    }
                    sleepUntil(System.nanoTime() + 500_000_000L);
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(ASK_SECONDS + 5, TimeUnit.SECONDS);
        record.line(known + " of " + asked.size() + " accepted jobs are known, " + gone + " answered 410, "
                + (asked.size() - known.get() - gone.get()) + " not answered in " + ASK_SECONDS + " s");
        if (asked.isEmpty()) {
            return 2;
        }
        return known.get() < asked.size() ? 1 : 0;
    }

    private static void sleepUntil(long nanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
