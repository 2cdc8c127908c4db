import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** The operator's and the clients' side of a small cell with one service and one queue. */
final class Site {

    static final String HOST = "nony24.example";
    static final String PREFIX = "/pule252/";
    static final String SERVICE = "huvo11a";

    final Cell cell;
    final Record record;
    final List<Minion> minions = new ArrayList<>();

    Site(Cell cell) {
        this.cell = cell;
        this.record = cell.record;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    List<String> controlAddresses() {
        return cell.controls.stream()
                .map(node -> node.ip + ":" + Cell.CONTROL_PORT)
                .toList();
    }

    String front(int number) {
        return cell.entries.get(number % cell.entries.size()).ip + ":" + Cell.FRONT_PORT;
    }

    /** Sends a configuration with one queue until it is acknowledged. */
    void configure(int version, int maxAttempts) throws Exception {
        configure(version, maxAttempts, "", "");
    }

    /** Sends a configuration with one queue, and a second one if a host is given, until it is acknowledged. */
    void configure(int version, int maxAttempts, String otherHost, String otherPrefix) throws Exception {
        String other = otherHost.isEmpty()
                ? ""
                : ",{\"name\":\"r-73d3zji\",\"host\":\"" + otherHost + "\",\"path-prefix\":\"" + otherPrefix
                        + "\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":3000,\"priority\":2,\"service\":\""
                        + SERVICE + "\",\"max-attempts\":2,\"stretch\":4.0}";
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-9n73hh2\",\"host\":\"" + HOST
                + "\",\"path-prefix\":\"" + PREFIX
                + "\",\"route-type\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":3000,\"priority\":0,\"service\":\"" + SERVICE
                + "\",\"max-attempts\":" + maxAttempts + ",\"stretch\":4.0}" + other + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,"
                + "\"enforces-capacity\":false,\"spare\":false}],\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
        for (int i = 0; i < 60; i++) {
            Http.Answer answer = Http.call(
                    "POST", controlAddresses().get(i % cell.controls.size()), "/v1/config/put", null, body, 1000);
            if (answer.status() == 200) {
                record.line("configuration " + version + " is acknowledged");
                return;
            }
            Thread.sleep(300);
        }
        throw new IllegalStateException("the configuration is not acknowledged");
    }

    Minion minion(int number) throws Exception {
        return new Minion(
                record,
                "i-" + number,
                cell.net + (100 + number),
                SERVICE,
                "pl-central-" + (char) ('a' + number % 3),
                "r1-" + number / 8,
                controlAddresses());
    }

    /** Submits a job, again after no clear answer, until it is accepted. */
    boolean submit(String id, String body) throws Exception {
        for (int i = 0; i < 20; i++) {
            Http.Answer answer = Http.call("POST", front(i), PREFIX + id, HOST, body, 3000);
            record.line("POST " + id + " -> " + answer.status() + " " + answer.body());
            if (answer.status() / 100 == 2) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    Http.Answer state(String id, int attempt) {
        return Http.call("GET", front(attempt), PREFIX + id, HOST, null, 3000);
    }

    /** Returns the state of a job, as any node tells it within a few attempts; empty if none does. */
    String stateOf(String id) throws Exception {
        for (int i = 0; i < 5; i++) {
            Http.Answer answer = state(id, i);
            if (answer.status() == 200) {
                return answer.body().replaceAll(".*\"state\":\"([a-z]+)\".*", "$1");
            }
            if (answer.status() == 410) {
                return "410";
            }
            Thread.sleep(300);
        }
        return "";
    }
}
