import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Clients hand in some jobs with many steps, one after the other; then the leader is killed. All accepted jobs are asked for. */
public final class ChainsCase {

    private static final int MINIONS = 33;
    private static final int JOBS = 200;
    private static final int STEPS = 600;
    private static final long PAUSE_MILLIS = 100;

    /** A client's first attempt and its retries. */
    private static final int ATTEMPTS = 5;

    /** Number of accepted jobs that are asked for. */
    private static final int ASKED = 3;

    private static final long FINISH_MILLIS = 14_000;

    private static final Pattern LEADS = Pattern.compile("leads in term (\\d+)");

    private ChainsCase() {}

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
        List<String> accepted = new ArrayList<>();
        String ordinary = "7c0e7a21d94b36f8";
        submit(deployment, accepted, ordinary, Deployment.job(2, 500, 1_000, ""));
        for (int number = 0; number < JOBS; number++) {
            submit(deployment, accepted, "8c0e7a21d94b%04x".formatted(number), chain());
            Cell.sleep(PAUSE_MILLIS);
        }
        recorder.add("the traffic ends, " + accepted.size() + " jobs were accepted");
        Cell.sleep(3_000);
        if (trouble) {
            deployment.cell.kill(leader(deployment));
        }
        Cell.sleep(FINISH_MILLIS);
        recorder.add("the last term is " + terms(deployment));
        List<String> missing = new ArrayList<>();
        for (String id : accepted.subList(0, Math.min(ASKED, accepted.size()))) {
            String state = "";
            for (int attempt = 0; attempt < 3 && state.isEmpty(); attempt++) {
                state = deployment.state(id);
            }
            if (state.isEmpty() || state.equals("410")) {
                missing.add(id);
            }
        }
        Deployment.exit(
                recorder,
                deployment,
                !missing.isEmpty(),
                accepted.size() + " jobs were accepted, " + missing.size() + " of the " + Math.min(ASKED, accepted.size())
                        + " that were asked for later than " + FINISH_MILLIS + " ms after the traffic have no answer; the last term is "
                        + terms(deployment));
    }

    /** A job of steps of one task each, one after the other. */
    private static String chain() {
        StringBuilder steps = new StringBuilder("{\"count\":1,\"cpu\":100,\"estimate-ms\":1000}");
        for (int step = 1; step < STEPS; step++) {
            steps.append(",{\"count\":1,\"cpu\":100,\"after\":[").append(step - 1).append("]}");
        }
        return "{\"spec\":\"x\",\"steps\":[" + steps + "]}";
    }

    /** Returns the process that has led last, by its log. */
    private static String leader(Deployment deployment) {
        return IntStream.range(0, deployment.cell.controls())
                .mapToObj(number -> "control" + number)
                .max(Comparator.comparingLong(name -> lastTerm(deployment, name)))
                .orElseThrow();
    }

    private static long terms(Deployment deployment) {
        return IntStream.range(0, deployment.cell.controls())
                .mapToLong(number -> lastTerm(deployment, "control" + number))
                .max()
                .orElseThrow();
    }

    private static long lastTerm(Deployment deployment, String name) {
        return LEADS.matcher(deployment.cell.log(name))
                .results()
                .mapToLong(lead -> Long.parseLong(lead.group(1)))
                .max()
                .orElse(0);
    }

    private static void submit(Deployment deployment, List<String> accepted, String id, String body) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int status = deployment.cell
                    .client("POST", attempt % 2, Deployment.HOST, Deployment.PREFIX + id, body)
                    .status();
            if (status == 200) {
                accepted.add(id);
                return;
            }
            if (status >= 400 && status < 500 && status != 429) {
                return;
            }
            Cell.sleep(500);
        }
    }
}
