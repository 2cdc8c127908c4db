import java.util.ArrayList;
import java.util.List;

/** All runs that the workers have begun, and how they ended. */
final class Runs {

    /** How a run ended that its worker took with it. */
    static final String LOST = "lost with its worker";

    /** Number of characters of a spec that are kept. */
    private static final int MAX_SPEC_CHARACTERS = 100;

    /** One run of a task on one life of a worker. */
    static final class Run {
        final String task;
        final int number;
        final String spec;
        final String worker;
        final long startMillis;
        String how = "";

        private Run(String task, int number, String spec, String worker, long startMillis) {
            this.task = task;
            this.number = number;
            this.spec = spec.substring(0, Math.min(MAX_SPEC_CHARACTERS, spec.length()));
            this.worker = worker;
            this.startMillis = startMillis;
        }

        boolean running() {
            return how.isEmpty();
        }

        @Override
        public String toString() {
            return task + " run " + number + " on " + worker;
        }
    }

    private final Record record;
    private final List<Run> runs = new ArrayList<>();
    private final List<String> overlaps = new ArrayList<>();

    Runs(Record record) {
        this.record = record;
    }

    synchronized Run begin(String task, int number, String spec, String worker) {
        Run begun = new Run(task, number, spec, worker, record.millis());
        runs.stream().filter(run -> run.task.equals(task) && run.running()).forEach(run -> {
            String overlap = begun + " begins while " + run + " is at work";
            overlaps.add(overlap);
            record.line("OVERLAP " + overlap);
        });
        runs.add(begun);
        record.line("run begins: " + begun);
        return begun;
    }

    synchronized void end(Run run, String how) {
        if (run.running()) {
            run.how = how;
            record.line("run ends: " + run + " " + how);
        }
    }

    /** Returns the starts of a task while another run of it was at work. */
    synchronized List<String> overlaps() {
        return List.copyOf(overlaps);
    }

    synchronized List<Run> ofJob(String job) {
        return runs.stream().filter(run -> run.task.startsWith(job + ".")).toList();
    }

    synchronized List<Run> runningOn(String worker) {
        return runs.stream()
                .filter(run -> run.running() && run.worker.startsWith(worker + "@"))
                .toList();
    }
}
