import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients hand in a job with many times at once; every accepted job is asked for after the traffic. */
public final class ScheduleCase {

    private static final int MINIONS = 33;
    private static final int CLIENTS = 8;
    private static final int BURST = 100;
    private static final int CALM = 4;
    private static final int TIMES = 1_000;
    private static final int TASKS = 20;

    /** A client's first attempt and its retries. */
    private static final int ATTEMPTS = 5;

    private static final long TRAFFIC_MILLIS = 25_000;

    /** Number of accepted jobs that are asked for. */
    private static final int ASKED = 8;

    private static final long FINISH_MILLIS = 14_000;
    private static final long ORDINARY_WORK_MILLIS = 4_000;

    private ScheduleCase() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Recorder recorder = new Recorder(Path.of(arguments[0], "record.txt"));
        try {
            run(recorder, trouble ? BURST : CALM);
        } catch (Throwable e) {
            Deployment.fail(recorder, e);
        }
    }

    private static void run(Recorder recorder, int schedules) throws Exception {
        Deployment deployment = new Deployment(recorder, 3, 2, MINIONS, Deployment.configuration(7, 4));
        Map<String, String> accepted = new ConcurrentHashMap<>();
        String ordinary = "7c0e7a21d94b36f8";
        deployment.world.declare(ordinary, 0, new World.Kind(8, ORDINARY_WORK_MILLIS, false, false, true));
        submit(deployment, accepted, ordinary, Deployment.job(8, 9_000, ORDINARY_WORK_MILLIS, ",\"saves-progress\":true"));
        long untilMillis = recorder.millis() + TRAFFIC_MILLIS;
        AtomicInteger next = new AtomicInteger();
        inParallel(() -> {
            for (int number = next.getAndIncrement(); number < schedules; number = next.getAndIncrement()) {
                if (recorder.millis() < untilMillis) {
                    submit(deployment, accepted, "8c0e7a21d94b%04x".formatted(number), schedule(number));
                }
            }
        });
        recorder.add("the traffic ends, " + accepted.size() + " jobs were accepted");
        Cell.sleep(FINISH_MILLIS);
        Map<String, String> missing = new ConcurrentHashMap<>();
        AtomicInteger asked = new AtomicInteger();
        String[] ids = accepted.keySet().stream().sorted().limit(ASKED).toArray(String[]::new);
        inParallel(() -> {
            for (int number = asked.getAndIncrement(); number < ids.length; number = asked.getAndIncrement()) {
                String state = state(deployment, ids[number]);
                if (state.isEmpty() || state.equals("410")) {
                    missing.put(ids[number], state);
                }
            }
        });
        Deployment.exit(
                recorder,
                deployment,
                !missing.isEmpty(),
                accepted.size() + " jobs were accepted, " + missing.size() + " of " + ids.length + " that were asked for have no answer " + FINISH_MILLIS
                        + " ms after the traffic; processes that ended by themselves: "
                        + deployment.cell.ownEnds());
    }

    /** A job of one step that runs each hour, from the next one on. */
    private static String schedule(int number) {
        long firstMillis = System.currentTimeMillis() + 3_600_000 + 1_000L * number;
        return "{\"spec\":\"x\",\"steps\":[{\"count\":%d,\"cpu\":100,\"mem-mb\":50,\"estimate-ms\":100}],\"times\":%d,\"start-at-ms\":%d,\"interval-ms\":3600000}"
                .formatted(TASKS, TIMES, firstMillis);
    }

    private static void submit(Deployment deployment, Map<String, String> accepted, String id, String body) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int status = deployment.cell
                    .client("POST", attempt % 2, Deployment.HOST, Deployment.PREFIX + id, body)
                    .status();
            if (status == 200) {
                accepted.put(id, "");
                return;
            }
            if (status >= 400 && status < 500 && status != 429) {
                return;
            }
            Cell.sleep(500);
        }
    }

    private static String state(Deployment deployment, String id) {
        String state = "";
        for (int attempt = 0; attempt < ATTEMPTS && state.isEmpty(); attempt++) {
            state = deployment.state(id);
        }
        return state;
    }

    private static void inParallel(Runnable task) throws InterruptedException {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        for (int client = 0; client < CLIENTS; client++) {
            clients.execute(task);
        }
        clients.shutdown();
        clients.awaitTermination(100, TimeUnit.SECONDS);
    }
}
