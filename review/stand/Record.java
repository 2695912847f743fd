import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long started = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - started) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%6d ms  %s%n", millis(), String.format(format, values));
        out.flush();
    }
}
