import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** The record of a run: what was sent, answered and run, with the milliseconds since the start. */
final class RunRecord implements AutoCloseable {
    /** A statement that a server ran. */
    record Run(String query, String server, String text, String shape, boolean atReplacedPrimary, long nanos) {}

    private final long start = System.nanoTime();
    private final PrintWriter out;
    private final ConcurrentHashMap<String, List<Run>> runs = new ConcurrentHashMap<>();
    private static final int LONGEST_TEXT = 120;

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String event, Object... fields) {
        StringBuilder text = new StringBuilder(String.format("%9.3f %s", (System.nanoTime() - start) / 1e9, event));
        for (int index = 0; index + 1 < fields.length; index += 2) {
            text.append(' ').append(fields[index]).append('=').append(shown(fields[index + 1]));
        }
        out.println(text);
        out.flush();
    }

    void run(String query, String server, String text, String shape, boolean atReplacedPrimary) {
        Run run = new Run(query, server, text, shape, atReplacedPrimary, System.nanoTime());
        runs.computeIfAbsent(query, ignored -> new ArrayList<>()).add(run);
        line("ran", "query", query, "server", server, "text", "[" + text + "]", "shape", shape == null ? "-" : shape,
                "replaced", atReplacedPrimary);
    }

    /** All statements that servers ran, by their identifier. */
    ConcurrentHashMap<String, List<Run>> runs() {
        return runs;
    }

    @Override
    public void close() {
        out.close();
    }

    private static String shown(Object value) {
        String text = String.valueOf(value).replace("\r", "\\r").replace("\n", "\\n");
        return text.length() <= LONGEST_TEXT ? text : text.substring(0, LONGEST_TEXT) + "...(" + text.length() + ")";
    }
}
