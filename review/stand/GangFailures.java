import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Two minions fail all that they start for a while; a gang has a task on each. The gang has failed once, and may run
 * again: the job must not be shown as failed.
 */
final class GangFailures {

    private static final int MINIONS = 24;
    private static final int GREY_MINIONS = 2;
    private static final int TASKS = 4;
    private static final int MAX_ATTEMPTS = 2;
    private static final long WORK_MILLIS = 1_500;
    private static final long FAILS_AFTER_MILLIS = 100;

    /** Time in which the end of one member reaches the others. */
    private static final long BREAK_MILLIS = 100;

    private static final ScheduledExecutorService TIMERS = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "gang");
        thread.setDaemon(true);
        return thread;
    });

    /** The minions that fail what they start: the first ones that get a task of the gang. */
    private static final Set<String> GREY = ConcurrentHashMap.newKeySet();

    private static final Set<Integer> FAILED_RUNS = ConcurrentHashMap.newKeySet();

    private static final class GangMinion extends Minion {
        private final Site site;
        private final boolean trouble;

        GangMinion(Site site, int number, boolean trouble) throws Exception {
            super(site.record, "i-" + number, site.cell.net + (100 + number), Site.SERVICE,
                    "pl-central-" + (char) ('a' + number % 3), "r1-" + number / 8, site.controlAddresses());
            this.site = site;
            this.trouble = trouble;
        }

        @Override
        long failsAfterMillis(String task, int run) {
            if (trouble && run == 1 && GREY.size() < GREY_MINIONS && GREY.add(id)) {
                record.line("minion " + id + " fails what it starts");
            }
            return GREY.contains(id) && run == 1 ? FAILS_AFTER_MILLIS : -1;
        }

        @Override
        void ended(String task, int run, String how) {
            if (how.equals("failed")) {
                FAILED_RUNS.add(run);
                TIMERS.schedule(() -> breakOthers(task, run), BREAK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void breakOthers(String task, int run) {
            String step = task.substring(0, task.lastIndexOf('.') + 1);
            for (Minion other : List.copyOf(site.minions)) {
                other.tasks().stream()
                        .filter(member -> member.startsWith(step) && !member.equals(task))
                        .forEach(member -> other.breakRun(member, run));
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
        site.configure(7, MAX_ATTEMPTS);
        for (int i = 0; i < MINIONS; i++) {
            site.minions.add(new GangMinion(site, i, trouble));
        }
        Thread.sleep(3_000);
        String id = Site.newId();
        // Each task takes more than half of a minion, so that each minion gets one.
        boolean accepted = site.submit(
                id,
                "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[{\"count\":" + TASKS
                        + ",\"cpu\":40000,\"mem-mb\":10000,\"estimate-ms\":" + WORK_MILLIS + ",\"gang\":true}]}");
        if (!accepted) {
            return 2;
        }
        String last = "";
        long until = System.currentTimeMillis() + 60_000;
        while (System.currentTimeMillis() < until) {
            String state = site.stateOf(id);
            if (!state.equals(last)) {
                record.line("GET " + id + " -> " + state);
                last = state;
            }
            if (state.equals("failed")) {
                record.line("runs of the gang that have failed: " + new HashSet<>(FAILED_RUNS) + ", max-attempts is "
                        + MAX_ATTEMPTS);
                return FAILED_RUNS.size() < MAX_ATTEMPTS ? 1 : 2;
            }
            if (state.equals("completed")) {
                return 0;
            }
            Thread.sleep(100);
        }
        record.line("the job has not ended");
        return 2;
    }
}
