import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long started = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", (System.nanoTime() - started) / 1e9, String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
