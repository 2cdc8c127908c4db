import java.nio.file.Path;

/** Runs a case: {@code Case CLASS FOLDER}. Exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run. */
public final class Case {

    private static final long MAX_MILLIS = 115_000;

    private Case() {}

    /** The steps of a case. */
    interface Steps {
        /** Returns whether the rule was broken. */
        boolean broken(Record record, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line("trouble: " + trouble);
        Thread watchdog = new Thread(() -> {
            Cell.pause(MAX_MILLIS);
            record.line("gave up after " + MAX_MILLIS + " ms");
            Runtime.getRuntime().exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status = 2;
        try {
            Steps steps = (Steps)
                    Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
            boolean broken = steps.broken(record, trouble);
            record.line(broken ? "BROKEN" : "HELD");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            record.line("could not run: " + e);
        }
        System.exit(status);
    }
}
