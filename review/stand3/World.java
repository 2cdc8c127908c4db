import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What all minions know of the tasks that they run: how long they work, and which belong to a gang. */
final class World {

    private static final long SAVE_INTERVAL_MILLIS = 2_000;
    private static final long STARTUP_MILLIS = 500;

    /** How the tasks of a step behave. */
    record Kind(int count, long workMillis, boolean gang, boolean lasting, boolean saves) {}

    /** A run of a task as its minion has seen it; the end is negative while it runs. */
    static final class Seen {
        final String task;
        final int number;
        final String minion;
        final long startMillis;
        long endMillis = -1;
        String how = "";

        Seen(String task, int number, String minion, long startMillis) {
            this.task = task;
            this.number = number;
            this.minion = minion;
            this.startMillis = startMillis;
        }
    }

    private final Recorder recorder;
    private final Map<String, Kind> kinds = new ConcurrentHashMap<>();
    private final List<Seen> runs = new ArrayList<>();
    private final Map<Minion.Run, Seen> open = new HashMap<>();
    private final List<String> twice = new ArrayList<>();
    private final Map<String, String> orderedEnds = new ConcurrentHashMap<>();

    World(Recorder recorder) {
        this.recorder = recorder;
    }

    /** Declares how the tasks of a step behave, by job and step. */
    void declare(String job, int step, Kind kind) {
        kinds.put(job + "." + step, kind);
    }

    /** Has the run of a task that is at work end in a given way. */
    void endSoon(String task, String how) {
        orderedEnds.put(task, how);
    }

    private Kind kind(String task) {
        String[] parts = task.split("\\.");
        return kinds.getOrDefault(parts[0] + "." + parts[2], new Kind(1, 1_000, false, false, false));
    }

    synchronized void started(Minion.Run run, String minion, String spec) {
        Seen seen = new Seen(run.task, run.number, minion, recorder.millis());
        open.values().stream()
                .filter(other -> other.task.equals(run.task))
                .forEach(other -> twice.add(run.task + " runs " + other.number + " on " + other.minion + " and "
                        + run.number + " on " + minion));
        runs.add(seen);
        open.put(run, seen);
        recorder.add("start " + run.task + " run " + run.number + " on " + minion
                + (run.saved.isEmpty() ? "" : " saved=" + run.saved));
    }

    void ended(Minion.Run run, String how) {
        List<Minion.Run> others = new ArrayList<>();
        synchronized (this) {
            Seen seen = open.remove(run);
            if (seen == null) {
                return;
            }
            seen.endMillis = recorder.millis();
            seen.how = how;
            recorder.add("end " + run.task + " run " + run.number + " " + how + " on " + seen.minion);
            if (kind(run.task).gang()) {
                others.addAll(members(run));
            }
        }
        // On another thread, as the caller holds its minion.
        if (!others.isEmpty()) {
            Minion.daemon(() -> others.forEach(other ->
                            other.minion.end(other, how.equals("done") ? "done" : "broken")))
                    .start();
        }
    }

    private List<Minion.Run> members(Minion.Run run) {
        String step = run.task.substring(0, run.task.lastIndexOf('.') + 1);
        return open.keySet().stream()
                .filter(other -> other != run && other.task.startsWith(step) && other.number == run.number)
                .toList();
    }

    /** Lets a run work for a time; returns how it ends, null if it goes on. */
    synchronized String work(Minion.Run run, long millis, long ageMillis) {
        Kind kind = kind(run.task);
        if (kind.gang() && members(run).size() + 1 < kind.count()) {
            return ageMillis > 3_000 ? "alone" : null;
        }
        if (kind.lasting()) {
            run.progressMillis += millis;
            return run.progressMillis > STARTUP_MILLIS ? orderedEnds.remove(run.task) : null;
        }
        long before = run.progressMillis;
        run.progressMillis += millis;
        if (kind.saves() && before / SAVE_INTERVAL_MILLIS != run.progressMillis / SAVE_INTERVAL_MILLIS) {
            run.saved = Long.toString(run.progressMillis);
        }
        return run.progressMillis >= kind.workMillis() ? "done" : null;
    }

    int percent(Minion.Run run) {
        Kind kind = kind(run.task);
        if (kind.lasting()) {
            return run.progressMillis > STARTUP_MILLIS ? 100 : 0;
        }
        return (int) Math.min(100, 100 * run.progressMillis / Math.max(1, kind.workMillis()));
    }

    int figure(Minion.Run run) {
        return kind(run.task).lasting() ? 5 : 1_000;
    }

    synchronized List<Seen> runs() {
        return List.copyOf(runs);
    }

    /** Returns the runs of one task that were at work at the same time. */
    synchronized List<String> twice() {
        return List.copyOf(twice);
    }

    synchronized List<Minion.Run> open() {
        return List.copyOf(open.keySet());
    }
}
