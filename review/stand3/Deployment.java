import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The cell with its minions and one queue, and what most cases do with it. */
final class Deployment implements AutoCloseable {

    static final String HOST = "h.example";
    static final String PREFIX = "/q/";

    final Cell cell;
    final World world;
    final List<Minion> minions = new ArrayList<>();

    /** Starts the processes and minions, and waits until jobs are accepted. */
    Deployment(Recorder recorder, int controls, int entries, int minionCount, String configuration)
            throws IOException {
        this(recorder, controls, entries, minionCount, 0, configuration);
    }

    /** As above; the last minions are of a kind of their own, b, each behind a gate. */
    static Deployment withGatedMinions(
            Recorder recorder, int controls, int entries, int minionCount, int gatedMinions, String configuration)
            throws IOException {
        return new Deployment(recorder, controls, entries, minionCount, 0, gatedMinions, configuration);
    }

    /** As above; the last minions have twice the processors of the others. */
    Deployment(
            Recorder recorder, int controls, int entries, int minionCount, int largeMinions, String configuration)
            throws IOException {
        this(recorder, controls, entries, minionCount, largeMinions, 0, configuration);
    }

    private Deployment(
            Recorder recorder,
            int controls,
            int entries,
            int minionCount,
            int largeMinions,
            int gatedMinions,
            String configuration)
            throws IOException {
        cell = new Cell(recorder, controls, entries);
        world = new World(recorder);
        cell.configure(configuration);
        cell.awaitReady();
        for (int number = 0; number < minionCount; number++) {
            boolean gated = number >= minionCount - gatedMinions;
            Minion minion = new Minion(
                    cell,
                    world,
                    number,
                    Cell.MINION_PORT,
                    number < minionCount - largeMinions ? 32_000 : 64_000,
                    131_072,
                    gated ? "b" : "a",
                    gated ? new Gate(cell.host(101 + number), Cell.MINION_PORT) : null);
            minions.add(minion);
            minion.start();
        }
        // Until a minion is known, jobs are refused; the probe does nothing but run.
        Cell.await(
                20_000,
                () -> cell.client("POST", 0, HOST, PREFIX + "00000000000000aa", job(1, 100, 100, ",\"requires\":\"a\"")).status() == 200,
                "the first job to be accepted");
        Cell.sleep(3_000);
    }

    /** A configuration with one queue as those of the small deployments. */
    static String configuration(int version, int maxAttempts) {
        return """
                {"version":%d,"routes":[{"name":"r","host":"h.example","path-prefix":"/q/","route-type":"unsafe",
                "timeout-ms":3000,"slo-ms":1000,"priority":1,"service":"pool","max-attempts":%d,"stretch":2.2}],
                "services":[{"name":"pool","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,
                "enforces-capacity":false,"spare":false}],"limits":{"max-header-bytes":16384,
                "max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}
                """
                .formatted(version, maxAttempts);
    }

    /** A job of one step; the last text holds further fields of the step. */
    static String job(int count, int cpuMillis, long estimateMillis, String fields) {
        return "{\"spec\":\"x\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem-mb\":500,\"estimate-ms\":%d%s}]}"
                .formatted(count, cpuMillis, estimateMillis, fields);
    }

    /** Returns the state of a job as a client reads it, an empty text if it can't be read. */
    String state(String id) {
        for (int entry = 0; entry < 2; entry++) {
            Cell.Answer answer = cell.client("GET", entry % 2, HOST, PREFIX + id, null);
            if (answer.status() == 200) {
                return answer.body().replaceAll(".*\"state\":\"(\\w+)\".*", "$1");
            }
            if (answer.status() == 410) {
                return "410";
            }
        }
        return "";
    }

    @Override
    public void close() {
        cell.close();
    }

    /** Ends the program with the result of a case. */
    static void exit(Recorder recorder, Deployment deployment, boolean broken, String verdict) {
        recorder.add((broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        System.out.println((broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        if (deployment != null) {
            deployment.close();
        }
        recorder.close();
        Runtime.getRuntime().halt(broken ? 1 : 0);
    }

    /** Ends the program because the case could not run. */
    static void fail(Recorder recorder, Throwable cause) {
        recorder.add("the case could not run: " + cause);
        System.out.println("the case could not run: " + cause);
        cause.printStackTrace();
        System.exit(2);
    }
}
