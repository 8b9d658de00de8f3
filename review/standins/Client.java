import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A caller's session. */
final class Client implements AutoCloseable {
    /** The answer to a statement; the code is null if it succeeded. */
    record Answer(String code, List<String> rows, String proof, String ready) {
        boolean succeeded() {
            return code == null;
        }
    }

    /** Keeps bytes one by one, so that a changed text is seen. */
    private static final Charset BYTES = StandardCharsets.ISO_8859_1;
    private final Socket socket;
    private final InputStream in;

    Client(int port, String database, int timeoutMillis) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        send("CONNECT " + database + " caller\r\n");
        String line = read();
        if (!line.startsWith("READY")) throw new IOException("session refused: " + line);
    }

    Answer query(String identifier, String text) throws IOException {
        send("QUERY " + identifier + " " + text + "\r\n");
        return answer();
    }

    void send(String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(BYTES));
    }

    Answer answer() throws IOException {
        List<String> rows = new ArrayList<>();
        String code = null;
        String proof = null;
        while (true) {
            String line = read();
            String rest = line.contains(" ") ? line.substring(line.indexOf(' ') + 1) : "";
            if (line.startsWith("ROW ")) rows.add(rest);
            else if (line.startsWith("COMPLETE")) proof = rest;
            else if (line.startsWith("ERROR")) code = rest;
            else if (line.startsWith("READY")) return new Answer(code, rows, proof, rest);
            else throw new IOException("unexpected message: " + line);
        }
    }

    private String read() throws IOException {
        byte[] line = DatabaseServer.Lines.read(in);
        if (line == null) throw new IOException("the connection ended");
        return new String(line, BYTES);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
