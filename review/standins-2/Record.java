import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
