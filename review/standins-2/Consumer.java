import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A consumer's session. */
final class Consumer implements AutoCloseable {
    /** An answer: its rows, its COMPLETE or ERROR line, and its READY line. */
    record Answer(String identifier, List<String> rows, String result, String ready) {
        boolean succeeded() {
            return result.startsWith("COMPLETE");
        }
    }

    private static final AtomicLong IDENTIFIERS = new AtomicLong(System.nanoTime());
    private final Socket socket;
    private final InputStream input;
    private final Record record;
    private final String name;
    private final boolean quiet;

    Consumer(String name, int port, String database, int timeoutMillis, Record record) throws IOException {
        this(name, port, database, timeoutMillis, record, false);
    }

    /** A session whose statements are not recorded if it is [quiet]. */
    Consumer(String name, int port, String database, int timeoutMillis, Record record, boolean quiet) throws IOException {
        this.quiet = quiet;
        this.name = name;
        this.record = record;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        input = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        send("CONNECT " + database);
        String ready = Lines.read(input);
        if (ready == null || !ready.startsWith("READY")) throw new IOException("refused: " + ready);
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a statement and waits for its answer; fails if the connection ends or is silent for too long. */
    Answer query(String text) throws IOException {
        String identifier = Long.toHexString(IDENTIFIERS.incrementAndGet());
        if (!quiet) record.line("%s sends %s %s", name, identifier, text.length() > 60 ? text.substring(0, 60) : text);
        send("QUERY " + identifier + " " + text);
        List<String> rows = new ArrayList<>();
        String result = "";
        while (true) {
            String line = Lines.read(input);
            if (line == null) {
                record.line("%s gets no answer to %s: the connection ends", name, identifier);
                throw new IOException("the connection ended");
            }
            if (line.startsWith("ROW ")) rows.add(line.substring(4));
            else if (line.startsWith("READY")) {
                if (!quiet) record.line("%s gets %s: %s %s", name, identifier, result, line);
                return new Answer(identifier, rows, result, line);
            } else result = line;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
