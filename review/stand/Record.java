import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what is sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - startNanos) / 1e9, text);
        file.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        file.close();
    }
}
