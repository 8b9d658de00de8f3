import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A database server that speaks the line protocol. A line ends with CR LF only. */
final class DatabaseServer {
    private record Pending(Group.Entry entry, long visibleAt) {}

    final String id;
    final long born = System.currentTimeMillis();
    final AtomicLong sequence = new AtomicLong();
    final List<Group.Entry> log = new ArrayList<>();
    volatile boolean primary;
    volatile long term;
    volatile boolean leaving;
    volatile boolean dark;

    /** The link by which the proxies reach the server. */
    final Link link;
    private final Group group;
    private final RunRecord record;
    private final ServerSocket socket;
    private final Semaphore slots = new Semaphore(Timing.SLOTS, true);
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<Pending> received = new ArrayList<>();

    DatabaseServer(Group group, String id, RunRecord record) throws IOException {
        this.group = group;
        this.id = id;
        this.record = record;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        link = new Link(id, socket.getLocalPort(), record);
        Threads.start("server " + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + link.port();
    }

    /** Goes dark: its process has crashed, and its host does not answer. */
    void crash() {
        link.cut();
        dark = true;
        record.line("server crashed and is dark", "server", id);
    }

    /** Comes back with its log and in its role; no connection from before is left. */
    void recover() {
        connections.forEach(Link::close);
        connections.clear();
        dark = false;
        link.heal();
        record.line("server is back", "server", id);
    }

    /** Ends the server. */
    void stop() {
        try {
            link.stop();
            socket.close();
            connections.forEach(Link::close);
        } catch (IOException failed) {
            record.line("server could not be stopped", "server", id, "reason", failed.getMessage());
        }
    }

    /** Position of the log up to which this server has applied commits. */
    String position() {
        synchronized (group) {
            return log.isEmpty() ? term + ".0" : log.get(log.size() - 1).position();
        }
    }

    /** Position of the log up to which this server has received commits. */
    String receivedPosition() {
        synchronized (group) {
            return received.isEmpty() ? position() : received.get(received.size() - 1).entry.position();
        }
    }

    /** Applies what was received, before this server leads. */
    void applyReceived() {
        received.forEach(pending -> log.add(pending.entry));
        received.clear();
    }

    /** Becomes a replica of [leader]; commits that the leader lacks are rolled back. */
    void follow(DatabaseServer leader) {
        primary = false;
        term = leader.term;
        received.clear();
        int common = 0;
        while (common < Math.min(log.size(), leader.log.size()) && log.get(common).equals(leader.log.get(common))) common++;
        while (log.size() > common) {
            record.line("commit rolled back", "server", id, "query", log.remove(log.size() - 1).query());
        }
    }

    /** Receives the next commits of [leader] and applies those that were received before the replication lag. */
    void receive(DatabaseServer leader) {
        term = leader.term;
        long now = System.nanoTime();
        while (log.size() + received.size() < leader.log.size()) {
            Group.Entry entry = leader.log.get(log.size() + received.size());
            received.add(new Pending(entry, now + Timing.REPLICATION_LAG_MS * 1_000_000));
        }
        while (!received.isEmpty() && received.get(0).visibleAt <= now) log.add(received.remove(0).entry);
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Threads.start("connection", () -> new Session(connection).run());
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** One connection. */
    private final class Session {
        private final Socket connection;
        private final Map<String, String> prepared = new HashMap<>();
        private final List<String[]> writes = new ArrayList<>();
        private String state = "I";
        private boolean readOnly;

        Session(Socket connection) {
            this.connection = connection;
        }

        void run() {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
                OutputStream out = connection.getOutputStream();
                String[] connect = text(Lines.read(in)).split(" ");
                if (connect.length > 3 && !connect[3].equals(id) || !connect[1].equals(group.name)) {
                    out.write("ERROR MOVED another server\r\n".getBytes(StandardCharsets.UTF_8));
                    return;
                }
                Threads.sleep(12);
                out.write(("READY I " + position() + "\r\n").getBytes(StandardCharsets.UTF_8));
                while (true) {
                    byte[] line = Lines.read(in);
                    if (line == null) return;
                    String[] words = text(line).split(" ", 3);
                    if (words[0].equals("QUIT")) return;
                    byte[] answer = (query(words[1], words[2]) + "READY " + state + " " + position() + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
                    out.write(answer);
                }
            } catch (IOException | RuntimeException closed) {
                // The peer has closed the connection.
            }
        }

        // Bytes are kept one by one, so that a changed text is seen.
        private String text(byte[] line) throws IOException {
            if (line == null) throw new IOException("closed");
            return new String(line, StandardCharsets.ISO_8859_1);
        }

        private String query(String identifier, String sent) {
            String text = sent;
            String minimum = null;
            if (text.startsWith("WAITLSN ")) {
                String[] words = text.split(" ", 3);
                minimum = words[1];
                text = words[2];
            }
            String[] words = text.split(" ", 3);
            switch (words[0]) {
                case "STATUS" -> {
                    return status();
                }
                case "STEPDOWN" -> {
                    group.stepDown(DatabaseServer.this, Long.parseLong(words[1]));
                    return status();
                }
                case "RESET" -> prepared.clear();
                case "SET", "PAUSE", "RESUME" -> { }
                case "PREPARE" -> prepared.put(words[1], words[2]);
                case "DEALLOC" -> prepared.remove(words[1]);
                case "ROLLBACK" -> end();
                case "BEGIN" -> {
                    if (minimum != null && isBehind(minimum)) return "ERROR LAGGING " + id + "\r\n";
                    readOnly = words.length > 1;
                    if (!readOnly && !primary) return "ERROR READONLY " + id + "\r\n";
                    state = "T";
                }
                default -> {
                    return run(identifier, text, words, minimum);
                }
            }
            return "COMPLETE -\r\n";
        }

        private String status() {
            String role = primary ? "primary " : "replica ";
            return "ROW " + role + term + " " + receivedPosition() + " " + term + " 0 0 1\r\nCOMPLETE -\r\n";
        }

        private String run(String identifier, String text, String[] words, String minimum) {
            slots.acquireUninterruptibly();
            try {
                Threads.sleep(Timing.WORK_MS);
                return runNow(identifier, text, words, minimum);
            } finally {
                slots.release();
            }
        }

        private String runNow(String identifier, String text, String[] words, String minimum) {
            boolean write = words[0].equals("WRITE");
            String shape = null;
            String[] arguments = words;
            if (words[0].equals("EXECUTE")) {
                shape = prepared.get(words[1]);
                if (shape == null) return "ERROR NOSTMT " + words[1] + "\r\n";
                write = shape.startsWith("WRITE ");
                String[] rest = words[2].split(" ", 2);
                arguments = new String[] {words[0], rest[0], rest.length > 1 ? rest[1] : ""};
            }
            if (minimum != null && isBehind(minimum)) return "ERROR LAGGING " + id + "\r\n";
            if ((write || state.equals("T") && !readOnly) && !primary && !(words[0].equals("COMMIT") && writes.isEmpty())) {
                if (state.equals("T")) state = "E";
                return "ERROR READONLY " + id + "\r\n";
            }
            String proof = Proofs.of(identifier, id);
            record.run(identifier, id, text, shape, group.isReplaced(DatabaseServer.this));
            synchronized (group) {
                if (words[0].equals("COMMIT")) {
                    writes.forEach(one -> commit(one[0], one[1], one[2]));
                    end();
                } else if (write && state.equals("T")) {
                    writes.add(new String[] {identifier, arguments[1], arguments.length > 2 ? arguments[2] : ""});
                } else if (write) {
                    commit(identifier, arguments[1], arguments.length > 2 ? arguments[2] : "");
                } else {
                    return "ROW " + read(arguments[1]) + "\r\nCOMPLETE " + proof + "\r\n";
                }
            }
            return "COMPLETE " + proof + "\r\n";
        }

        private void commit(String identifier, String item, String data) {
            long number = log.isEmpty() ? 1 : log.get(log.size() - 1).number() + 1;
            log.add(new Group.Entry(term, number, identifier, item, data));
        }

        private String read(String item) {
            for (int index = log.size() - 1; index >= 0; index--) {
                if (log.get(index).item().equals(item)) return log.get(index).data();
            }
            return "-";
        }

        private boolean isBehind(String minimum) {
            String[] own = position().split("\\.");
            String[] needed = minimum.split("\\.");
            int order = Long.compare(Long.parseLong(own[0]), Long.parseLong(needed[0]));
            if (order == 0) order = Long.compare(Long.parseLong(own[1]), Long.parseLong(needed[1]));
            return order < 0;
        }

        private void end() {
            state = "I";
            readOnly = false;
            writes.clear();
        }
    }

    /** Reads lines that end with CR LF. */
    static final class Lines {
        private Lines() {}

        static byte[] read(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int previous = -1;
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (previous == '\r' && next == '\n') {
                    byte[] bytes = line.toByteArray();
                    return Arrays.copyOf(bytes, bytes.length - 1);
                }
                line.write(next);
                previous = next;
            }
            return null;
        }
    }
}
