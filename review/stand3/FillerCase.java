import java.nio.file.Path;
import java.util.List;

/** The minions on which a task that fills fits by its processors are lost for good; it may run on every other one. */
public final class FillerCase {

    private static final String JOB = "9c0e7a21d94b36f8";
    private static final int MINIONS = 33;
    private static final int LARGE_MINIONS = 4;
    private static final int TASKS = 2;
    private static final long WORK_MILLIS = 10_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;

    private FillerCase() {}

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
        Deployment deployment =
                new Deployment(recorder, 3, 2, MINIONS, LARGE_MINIONS, Deployment.configuration(7, 4));
        World world = deployment.world;
        world.declare(JOB, 0, new World.Kind(TASKS, WORK_MILLIS, false, false, true));
        Cell.Answer accepted = deployment.cell.submit(
                Deployment.HOST,
                Deployment.PREFIX + JOB,
                Deployment.job(TASKS, 40_000, WORK_MILLIS, ",\"fills\":true,\"saves-progress\":true"));
        if (accepted.status() != 200) {
            throw new IllegalStateException("the job was not accepted: " + accepted);
        }
        Cell.await(10_000, () -> running(world) == TASKS, "the tasks to start");
        Cell.sleep(3_000);
        if (trouble) {
            List<Minion> lost = deployment.minions.subList(MINIONS - LARGE_MINIONS, MINIONS);
            recorder.add(lost.size() + " of " + MINIONS + " minions are lost for good");
            lost.forEach(Minion::crash);
        }
        long trafficEndMillis = recorder.millis();
        long idleSinceMillis = -1;
        long idleMillis = 0;
        String state = "";
        // The job is asked for from the end of the traffic and FINISH_MILLIS on; leases have ended by then.
        while (recorder.millis() - trafficEndMillis < 60_000 && idleMillis <= IDLE_MILLIS) {
            Cell.sleep(250);
            boolean asked = recorder.millis() - trafficEndMillis >= FINISH_MILLIS;
            if (asked || !trouble) {
                state = deployment.state(JOB);
                if (state.equals("completed") || state.equals("failed")) {
                    break;
                }
            }
            boolean idle = asked && running(world) == 0;
            idleSinceMillis = !idle ? -1 : idleSinceMillis < 0 ? recorder.millis() : idleSinceMillis;
            idleMillis = idle ? recorder.millis() - idleSinceMillis : 0;
        }
        Deployment.exit(
                recorder,
                deployment,
                idleMillis > IDLE_MILLIS,
                "the job is " + state + ", " + running(world) + " of " + TASKS + " tasks run, "
                        + deployment.minions.stream().filter(Minion::up).count() + " minions are up and "
                        + world.open().size() + " tasks run on them");
    }

    private static long running(World world) {
        return world.open().stream().filter(run -> run.task.startsWith(JOB)).count();
    }
}
