import java.nio.file.Path;

/**
 * The only minion of a kind crashes a few times while it works on a job that needs that kind. The job must not be shown
 * as failed.
 */
final class Crashes {

    private static final int MINIONS = 8;
    private static final int CRASHES = 6;
    private static final long WORK_MILLIS = 12_000;
    private static final long DOWN_MILLIS = 3_000;

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
            site.minions.add(minion(site, i));
        }
        Thread.sleep(3_000);
        String id = Site.newId();
        boolean accepted = site.submit(
                id,
                "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[{\"count\":1,\"requires\":\"b\",\"cpu\":5600,\"mem-mb\":10000,\"estimate-ms\":"
                        + WORK_MILLIS + "}]}");
        if (!accepted) {
            return 2;
        }
        int crashes = 0;
        long seenMillis = 0;
        int downIndex = -1;
        long upMillis = 0;
        String last = "";
        long until = System.currentTimeMillis() + 95_000;
        while (System.currentTimeMillis() < until) {
            long now = System.currentTimeMillis();
            if (downIndex >= 0 && now >= upMillis) {
                site.minions.set(downIndex, minion(site, downIndex));
                record.line("minion i-" + downIndex + " is back as another life");
                downIndex = -1;
            }
            int holder = holder(site, id);
            if (holder < 0) {
                seenMillis = 0;
            } else if (seenMillis == 0) {
                seenMillis = now;
            } else if (trouble && crashes < CRASHES && downIndex < 0 && now - seenMillis > 1_500) {
                crashes++;
                site.minions.get(holder).crash();
                downIndex = holder;
                upMillis = now + DOWN_MILLIS;
                seenMillis = 0;
            }
            String state = site.stateOf(id);
            if (!state.equals(last)) {
                record.line("GET " + id + " -> " + state);
                last = state;
            }
            if (state.equals("failed") || state.equals("410")) {
                record.line("BROKEN: " + crashes + " minions have crashed, no run has ended failed");
                return 1;
            }
            if (state.equals("completed")) {
                return 0;
            }
            Thread.sleep(100);
        }
        record.line("the job has not ended");
        return last.equals("completed") ? 0 : 1;
    }

    /** Returns a new life of a minion; the last one is the only one of kind b. */
    private static Minion minion(Site site, int number) throws Exception {
        return new Minion(
                site.record,
                "i-" + number,
                site.cell.net + (100 + number),
                Minion.PORT,
                Site.SERVICE,
                "pl-central-" + (char) ('a' + number % 3),
                number == MINIONS - 1 ? "b" : "a",
                "r1-" + number / 8,
                site.controlAddresses());
    }

    private static int holder(Site site, String id) {
        for (int i = 0; i < site.minions.size(); i++) {
            if (site.minions.get(i).tasks().stream().anyMatch(task -> task.startsWith(id))) {
                return i;
            }
        }
        return -1;
    }
}
