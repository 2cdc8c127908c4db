import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** One minion crashes, one with a task of a gang, three times in 12 s; no run of the job ends as failed. */
public final class CrashCase {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int MINIONS = 33;
    private static final int TASKS = 3;
    private static final int CRASHING = 1;
    private static final int CRASHES = 3;
    private static final long INTERVAL_MILLIS = 4_000;
    private static final long DOWN_MILLIS = 2_000;
    private static final long WORK_MILLIS = 8_000;

    private CrashCase() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Recorder recorder = new Recorder(Path.of(arguments[0], "record.txt"));
        try {
            run(recorder, trouble);
        } catch (Throwable e) {
            Deployment.fail(recorder, e);
        }
    }

    private static void run(Recorder recorder, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(recorder, 3, 2, MINIONS, Deployment.configuration(7, 4));
        World world = deployment.world;
        world.declare(JOB, 0, new World.Kind(TASKS, WORK_MILLIS, true, false, false));
        Cell.Answer accepted = deployment.cell.submit(
                Deployment.HOST,
                Deployment.PREFIX + JOB,
                Deployment.job(TASKS, 9_000, WORK_MILLIS, ",\"gang\":true"));
        if (accepted.status() != 200) {
            throw new IllegalStateException("the job was not accepted: " + accepted);
        }
        Random random = new Random(1);
        long beganMillis = recorder.millis();
        long crashes = 0;
        String state = "";
        while (recorder.millis() - beganMillis < 60_000) {
            Cell.sleep(500);
            state = deployment.state(JOB);
            if (state.equals("failed") || state.equals("completed")) {
                break;
            }
            boolean due = crashes < CRASHES && recorder.millis() - beganMillis >= (crashes + 1) * INTERVAL_MILLIS;
            if (trouble && due) {
                crashes++;
                crash(deployment, recorder, random);
            }
        }
        long failedRuns = world.runs().stream()
                .filter(run -> run.task.startsWith(JOB) && run.how.equals("failed"))
                .count();
        boolean broken = state.equals("failed") && failedRuns == 0;
        Deployment.exit(
                recorder,
                deployment,
                broken,
                "the job is shown as " + state + ", " + failedRuns + " of its runs have ended as failed");
    }

    /** Crashes minions for a time: those with tasks of gangs first, the others drawn by lot. */
    private static void crash(Deployment deployment, Recorder recorder, Random random) {
        Set<Minion> inGroups = new HashSet<>();
        deployment.world.open().forEach(run -> inGroups.add(run.minion));
        List<Minion> order = new ArrayList<>(deployment.minions);
        Collections.shuffle(order, random);
        order.sort((one, other) -> Boolean.compare(inGroups.contains(other), inGroups.contains(one)));
        List<Minion> victims = order.subList(0, CRASHING);
        recorder.add("crash of " + CRASHING + " of " + deployment.minions.size() + " minions, those in groups first");
        victims.forEach(Minion::crash);
        Minion.daemon(() -> {
                    Cell.sleep(DOWN_MILLIS);
                    victims.forEach(minion -> {
                        try {
                            minion.start();
                        } catch (java.io.IOException e) {
                            recorder.add("a minion could not start: " + e);
                        }
                    });
                })
                .start();
    }
}
