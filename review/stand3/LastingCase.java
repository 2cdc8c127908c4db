import java.nio.file.Path;
import java.util.List;

/** One task of a long-running step ends, as done; it has to be started again. */
public final class LastingCase {

    private static final String JOB = "6c0e7a21d94b36f8";
    private static final int MINIONS = 33;
    private static final int TASKS = 3;

    /** From 6 s after its last run a task that lasts must not have nothing running for 3 s. */
    private static final long LIMIT_MILLIS = 9_000;

    private LastingCase() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        String how = System.getenv().getOrDefault("HOW", "done");
        Recorder recorder = new Recorder(Path.of(arguments[0], "record.txt"));
        try {
            run(recorder, trouble, how);
        } catch (Throwable e) {
            Deployment.fail(recorder, e);
        }
    }

    private static void run(Recorder recorder, boolean trouble, String how) throws Exception {
        Deployment deployment = new Deployment(recorder, 3, 2, MINIONS, Deployment.configuration(7, 4));
        World world = deployment.world;
        world.declare(JOB, 0, new World.Kind(TASKS, 0, false, true, false));
        Cell.Answer accepted = deployment.cell.submit(
                Deployment.HOST,
                Deployment.PREFIX + JOB,
                Deployment.job(TASKS, 2_000, 1_000, ",\"long-running\":true,\"allow-duplicates\":true"));
        if (accepted.status() != 200) {
            throw new IllegalStateException("the job was not accepted: " + accepted);
        }
        Cell.await(10_000, () -> atWork(world) == TASKS, "the tasks to be at work");
        Cell.sleep(3_000);
        if (trouble) {
            world.endSoon(JOB + ".0.0.1", how);
            Cell.await(5_000, () -> ends(world) > 0, "the task to end");
        }
        long endedMillis = recorder.millis();
        long missingSinceMillis = -1;
        boolean broken = false;
        while (recorder.millis() - endedMillis < 25_000 && !broken) {
            Cell.sleep(200);
            boolean missing = atWork(world) < TASKS;
            missingSinceMillis = !missing ? -1 : missingSinceMillis < 0 ? endedMillis : missingSinceMillis;
            broken = missing && recorder.millis() - missingSinceMillis > 20_000;
        }
        String state = deployment.state(JOB);
        List<World.Seen> runs = world.runs().stream()
                .filter(run -> run.task.equals(JOB + ".0.0.1"))
                .toList();
        Deployment.exit(
                recorder,
                deployment,
                broken,
                "the job is " + state + ", task 1 had " + runs.size() + " runs, " + atWork(world) + " of " + TASKS
                        + " tasks run on " + MINIONS + " minions, "
                        + (broken ? "one has not for " + (recorder.millis() - missingSinceMillis) + " ms" : "none misses"));
    }

    private static long ends(World world) {
        return world.runs().stream()
                .filter(run -> run.task.startsWith(JOB) && run.endMillis >= 0)
                .count();
    }

    private static long atWork(World world) {
        return world.open().stream().filter(run -> run.task.startsWith(JOB)).count();
    }
}
