import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class Recorder implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String event) {
        out.println(millis() + " " + event);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
