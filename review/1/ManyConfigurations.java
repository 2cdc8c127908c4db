import java.util.ArrayList;
import java.util.List;

/**
 * The operator changes a configuration of many routes some hundred times. Then the processes that serve control are killed
 * and started again; they can't read their logs.
 */
public final class ManyConfigurations implements Case.Steps {

    /** Three times the 350 routes by which the site's configuration grows at once; less than 262,144 bytes. */
    private static final int ROUTES = 1_053;

    /** Number of storms of configurations, each like that of the site's day trouble-2: 2.0 s with a change each 0.08 s. */
    private static final int STORMS = 10;

    private static final int CHANGES_PER_STORM = 25;
    private static final long INTERVAL_MILLIS = 80;
    private static final long PAUSE_MILLIS = 1_000;

    /** Time after which a change without an acknowledgement ends the case, in milliseconds; {@code ack-ms} is 4,000. */
    private static final long GIVE_UP_MILLIS = 15_000;

    private static final long DOWN_MILLIS = 1_000;

    /** How long the configuration is read back, in milliseconds: more than {@code contact-ms} and {@code recovery-s}. */
    private static final long READ_MILLIS = 30_000;

    @Override
    public boolean broken(Record record, boolean trouble) throws Exception {
        try (Cell cell = new Cell(record, 1)) {
            cell.start(configuration(1));
            int acknowledged = 1;
            for (int storm = 0; storm < STORMS; storm++) {
                for (int change = 0; change < CHANGES_PER_STORM; change++) {
                    long sentMillis = record.millis();
                    put(cell, record, acknowledged + 1);
                    acknowledged++;
                    Cell.pause(Math.max(0, sentMillis + INTERVAL_MILLIS - record.millis()));
                }
                Cell.pause(PAUSE_MILLIS);
            }
            record.line("operator: version " + acknowledged + " acknowledged, "
                    + configuration(acknowledged).length() + " bytes");
            if (trouble) {
                for (int number = 0; number < 3; number++) {
                    cell.signal("control" + number, "KILL");
                }
                Cell.pause(DOWN_MILLIS);
                for (int number = 0; number < 3; number++) {
                    cell.startControl(number, false);
                }
            }
            boolean readBack = readBack(cell, record, acknowledged);
            record.line("processes that run: " + cell.running());
            cell.recordLogs("OutOfMemory", "LEAD term");
            return !readBack;
        }
    }

    /** Sends a change to one process after the other until it is acknowledged. */
    private static void put(Cell cell, Record record, int version) {
        String body = configuration(version);
        long untilMillis = record.millis() + GIVE_UP_MILLIS;
        for (int attempt = 0; record.millis() < untilMillis; attempt++) {
            String control = cell.control(attempt % 3);
            int status = cell.call("POST", control, control, "/v1/config/put", body).status();
            record.line("operator: put version " + version + " to " + control + " -> " + status);
            if (status == 200) {
                return;
            }
            Cell.pause(100);
        }
        throw new IllegalStateException("version " + version + " was not acknowledged");
    }

    private static boolean readBack(Cell cell, Record record, int acknowledged) {
        long untilMillis = record.millis() + READ_MILLIS;
        while (record.millis() < untilMillis) {
            for (String control : cell.controls()) {
                Http.Response response = cell.call("GET", control, control, "/v1/config/get", "");
                long version = Json.read(response.body()).path("version").asLong(-1);
                record.line("operator: get from " + control + " -> " + response.status() + ", version " + version);
                if (response.status() == 200 && version >= acknowledged) {
                    return true;
                }
            }
            Cell.pause(500);
        }
        return false;
    }

    private static String configuration(int version) {
        List<String> all = new ArrayList<>();
        for (int number = 0; number < ROUTES; number++) {
            all.add("{\"name\":\"r-" + number + "\",\"host\":\"nony24.example\",\"path-prefix\":\"/lohu" + number
                    + "/\",\"route-type\":\"unsafe\",\"timeout-ms\":" + (3_000 + version % 2)
                    + ",\"slo-ms\":1000,\"priority\":1,\"service\":\"pool\",\"max-attempts\":4,\"stretch\":2.2,"
                    + "\"advice\":{\"decide-ms\":742.8,\"each-ms\":7.4,\"valid-ms\":2500}}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", all)
                + "],\"services\":[{\"name\":\"pool\",\"enforces-capacity\":false}],\"limits\":{}}";
    }
}
