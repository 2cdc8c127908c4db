import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run: one line for each event, with the milliseconds since the start. */
final class Record {

    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format("%7d %s", millis(), text);
        file.println(line);
        file.flush();
        System.out.println(line);
    }
}
