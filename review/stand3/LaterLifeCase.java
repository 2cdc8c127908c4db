import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A minion loses power for a moment and is up again under its id. Its next life is given a start, is cut off before it has sent
 * a heartbeat, and carries the start out late. The task must not run twice at the same time.
 */
public final class LaterLifeCase {

    private static final String FIRST_JOB = "7c0e7a21d94b36f7";
    private static final String JOB = "7c0e7a21d94b36f8";
    private static final int MINIONS = 33;
    private static final int CPU_MILLIS = 30_000;

    /** Number of other jobs, whose starts are answered: one order of more than forty is not. */
    private static final int OTHER_JOBS = 40;

    /** How long the minion is down. */
    private static final long OFF_MILLIS = 150;

    /** When the next life sends its first heartbeat, of one each 1,500 ms. */
    private static final long FIRST_HEARTBEAT_MILLIS = 700;

    /** When the start is carried out: 2 to 12 s after it was sent. */
    private static final long LATE_MILLIS = 5_000;

    /** When the cut begins after the start was sent, and how long it lasts. */
    private static final long CUT_AFTER_MILLIS = 250;

    private static final long CUT_MILLIS = 6_000;

    private LaterLifeCase() {}

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
                Deployment.withGatedMinions(recorder, 3, 2, MINIONS, 2, Deployment.configuration(7, 4));
        World world = deployment.world;
        world.declare(FIRST_JOB, 0, new World.Kind(1, 1_300, false, false, false));
        world.declare(JOB, 0, new World.Kind(1, 9_000, false, false, false));
        for (int number = 0; number < OTHER_JOBS; number++) {
            submit(deployment, "6c0e7a21d94b%04x".formatted(number), "a", 1_000, 200);
            Cell.sleep(100);
        }
        // One of the two minions of kind b is at work, so that the next job of this kind goes to the other one.
        submit(deployment, FIRST_JOB, "b", CPU_MILLIS, 1_300);
        List<Minion> gated = deployment.minions.subList(MINIONS - 2, MINIONS);
        Cell.await(5_000, () -> gated.stream().anyMatch(minion -> !minion.runs().isEmpty()), "the first job to run");
        Minion free = gated.stream().filter(minion -> minion.runs().isEmpty()).findFirst().orElseThrow();
        CountDownLatch received = new CountDownLatch(trouble ? 1 : 0);
        if (trouble) {
            String id = free.id();
            free.losePower();
            Cell.sleep(OFF_MILLIS);
            free.carryOutLate(JOB, LATE_MILLIS, received::countDown);
            free.startAgain(id, FIRST_HEARTBEAT_MILLIS);
        }
        submit(deployment, JOB, "b", CPU_MILLIS, 9_000);
        if (!received.await(3_000, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("the next life was given no start");
        }
        if (trouble) {
            Cell.sleep(CUT_AFTER_MILLIS);
            free.cut(true);
            Cell.sleep(CUT_MILLIS);
            free.cut(false);
        }
        long untilMillis = recorder.millis() + 25_000;
        String state = "";
        while (recorder.millis() < untilMillis && !state.equals("completed") && world.twice().isEmpty()) {
            Cell.sleep(250);
            state = deployment.state(JOB);
        }
        boolean broken = !world.twice().isEmpty();
        Deployment.exit(
                recorder,
                deployment,
                broken,
                broken ? "two runs at the same time: " + world.twice() : "the job is " + state + ", no task ran twice at a time");
    }

    private static void submit(
            Deployment deployment, String id, String label, int cpuMillis, long estimateMillis) {
        Cell.Answer answer = deployment.cell.submit(
                Deployment.HOST,
                Deployment.PREFIX + id,
                Deployment.job(1, cpuMillis, estimateMillis, ",\"requires\":\"" + label + "\""));
        if (answer.status() != 200) {
            throw new IllegalStateException("the job was not accepted: " + answer);
        }
    }
}
