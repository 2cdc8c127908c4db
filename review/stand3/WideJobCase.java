import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Three clients hand in a job of many steps each, within the limit of a body, and ask again after no response. */
public final class WideJobCase {

    private static final String LASTING = "acae7a21d94b36f8";
    private static final String WIDE = "bcae7a21d94b36f";
    private static final int MINIONS = 33;
    private static final int TASKS = 8;
    private static final int MAY_MISS = 1;
    private static final int STEPS = 20_000;
    private static final int CALM_STEPS = 200;

    private static final int CLIENTS = 3;

    /** A client's first attempt and its retries. */
    private static final int ATTEMPTS = 5;

    private WideJobCase() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Recorder recorder = new Recorder(Path.of(arguments[0], "record.txt"));
        try {
            run(recorder, trouble ? STEPS : CALM_STEPS);
        } catch (Throwable e) {
            Deployment.fail(recorder, e);
        }
    }

    private static void run(Recorder recorder, int steps) throws Exception {
        Deployment deployment = new Deployment(recorder, 3, 2, MINIONS, Deployment.configuration(7, 4));
        World world = deployment.world;
        world.declare(LASTING, 0, new World.Kind(TASKS, 0, false, true, false));
        Cell.Answer accepted = deployment.cell.submit(
                Deployment.HOST,
                Deployment.PREFIX + LASTING,
                Deployment.job(
                        TASKS,
                        2_000,
                        1_000,
                        ",\"long-running\":true,\"anti-affinity\":1,\"may-miss\":" + MAY_MISS));
        if (accepted.status() != 200) {
            throw new IllegalStateException("the job was not accepted: " + accepted);
        }
        Cell.await(10_000, () -> atWork(world) == TASKS, "the tasks to be at work");
        Cell.sleep(4_000);
        String body = "{\"spec\":\"x\",\"steps\":[" + "{\"count\":1},".repeat(steps - 1) + "{\"count\":1}]}";
        recorder.add("the body has " + body.length() + " bytes");
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        for (int client = 0; client < CLIENTS; client++) {
            String path = Deployment.PREFIX + WIDE + client;
            clients.execute(() -> handIn(deployment, path, body));
            Cell.sleep(500);
        }
        clients.shutdown();
        clients.awaitTermination(40, TimeUnit.SECONDS);
        Cell.sleep(15_000);
        List<World.Seen> lapsed = world.runs().stream()
                .filter(run -> run.task.startsWith(LASTING) && run.how.equals("lapsed"))
                .toList();
        Deployment.exit(
                recorder,
                deployment,
                lapsed.size() > MAY_MISS,
                lapsed.size() + " of " + TASKS + " lasting tasks, of which " + MAY_MISS
                        + " may miss, ended as their leases lapsed; " + atWork(world) + " are at work now");
    }

    private static void handIn(Deployment deployment, String path, String body) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int status = deployment.cell
                    .client("POST", attempt % 2, Deployment.HOST, path, body)
                    .status();
            if (status != 0 && status != 502 && status != 504) {
                return;
            }
            Cell.sleep(300);
        }
    }

    private static long atWork(World world) {
        return world.open().stream().filter(run -> run.task.startsWith(LASTING)).count();
    }
}
