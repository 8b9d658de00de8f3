import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One database group: a primary and its replicas, which speak the line protocol. All servers share one lock. */
final class Database {
    /** A committed transaction: its position and the items that it wrote. */
    record Entry(long term, long number, Map<String, String> writes, String statement) {}

    /** A promotion that has taken effect, with the statements in the log of the promoted server. */
    record Promotion(String id, long term, List<String> statements) {}

    final String name;
    final int synchronousReplicas;
    final long promoteMillis;
    final long workMillis;
    final List<Server> servers = new ArrayList<>();
    final List<Promotion> promotions = new ArrayList<>();
    /** Statements that a server committed after another one had been promoted over it. */
    final List<String> committedLate = new ArrayList<>();
    private final Store store;
    private final Record record;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Threads::daemon);

    Database(String name, int synchronousReplicas, long promoteMillis, long workMillis, Store store, Record record) {
        this.name = name;
        this.synchronousReplicas = synchronousReplicas;
        this.promoteMillis = promoteMillis;
        this.workMillis = workMillis;
        this.store = store;
        this.record = record;
    }

    Server add(String id, String zone, boolean primary) throws IOException {
        Server server = new Server(id, zone, primary);
        servers.add(server);
        return server;
    }

    /** The statements in the log of the server that leads. */
    synchronized List<String> leaderLog() {
        return primary().log.stream().map(Entry::statement).toList();
    }

    /** Statements that were acknowledged but are not in the log of a server that was promoted. */
    synchronized List<String> missing(List<String> acknowledged) {
        List<String> missing = new ArrayList<>();
        for (Promotion promotion : promotions) {
            for (String statement : acknowledged) {
                if (!promotion.statements.contains(statement)) missing.add(statement + " at " + promotion.id);
            }
        }
        return missing;
    }

    Server server(String id) {
        return servers.stream().filter(it -> it.id.equals(id)).findFirst().orElse(null);
    }

    synchronized Server primary() {
        return servers.stream().filter(it -> it.leads && it.runs).max((a, b) -> Long.compare(a.term, b.term)).orElse(null);
    }

    /** The status of the answer to a promotion of the server [id]; it leads after the usual time. */
    synchronized int promote(String id) {
        Server server = server(id);
        if (server == null || !server.runs || server.dark()) return 409;
        if (server == primary()) return 200;
        timer.schedule(() -> lead(server), promoteMillis, TimeUnit.MILLISECONDS);
        return 200;
    }

    private synchronized void lead(Server server) {
        if (!server.runs || server.leads && server == primary()) return;
        long term = 1 + servers.stream().mapToLong(it -> it.term).max().orElse(0);
        server.term = term;
        server.leads = true;
        server.paused = false;
        promotions.add(new Promotion(server.id, term, server.log.stream().map(Entry::statement).toList()));
        record.line("promoted %s to term %d with %s", server.id, term, server.position());
        server.register();
        for (Server other : servers) {
            if (other != server && other.runs) timer.schedule(() -> follow(other, server), 1_000, TimeUnit.MILLISECONDS);
        }
    }

    /** Makes [other] follow the [primary]: it takes over its log and its term. */
    private synchronized void follow(Server other, Server primary) {
        if (!other.runs || !primary.runs || !primary.leads || other.term >= primary.term) return;
        if (other.deaf || other.dark() || primary.dark()) {
            timer.schedule(() -> follow(other, primary), 500, TimeUnit.MILLISECONDS);
            return;
        }
        if (other.leads) record.line("%s steps down", other.id);
        other.leads = false;
        other.term = primary.term;
        other.log.clear();
        other.log.addAll(primary.log);
        other.paused = false;
        other.register();
        notifyAll();
    }

    private void replicate(Server from, Server to, long millis) {
        timer.schedule(() -> receive(from, to), millis, TimeUnit.MILLISECONDS);
    }

    private synchronized void receive(Server from, Server to) {
        if (from.dark() || to.dark()) {
            replicate(from, to, 100);
            return;
        }
        if (!from.runs || !from.leads || !to.runs || to.deaf || to.paused || to.leads || to.term > from.term) return;
        to.term = from.term;
        to.log.clear();
        to.log.addAll(from.log);
        notifyAll();
    }

    /** A server of the group. */
    final class Server {
        final String id;
        final String zone;
        final List<Entry> log = new ArrayList<>();
        long term = 1;
        boolean leads;
        boolean runs = true;
        /** Whether nothing of the primary's log arrives. */
        boolean deaf;
        boolean paused;
        boolean draining;
        long replicationMillis = 2;
        private final int port;
        private ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private long born = System.currentTimeMillis();
        private long sequence;
        private long proofs;
        private volatile long darkUntil = System.nanoTime();

        private Server(String id, String zone, boolean primary) throws IOException {
            this.id = id;
            this.zone = zone;
            leads = primary;
            port = Ports.free();
            listen();
            register();
        }

        int port() {
            return port;
        }

        private void listen() throws IOException {
            ServerSocket opened = new ServerSocket(port, 256, InetAddress.getLoopbackAddress());
            listener = opened;
            Threads.start(() -> accept(opened));
        }

        /** Starts a crashed server again under its name; it holds nothing of before. */
        void restart() throws IOException {
            synchronized (Database.this) {
                log.clear();
                term = 0;
                leads = false;
                paused = false;
                runs = true;
                born = System.currentTimeMillis();
                sequence = 0;
                register();
                for (Server other : servers) if (other != this) replicate(other, this, 100);
            }
            listen();
            record.line("%s starts again with an empty log", id);
        }

        /** The position of the newest entry that the server has received. */
        String position() {
            if (log.isEmpty()) return "0.0";
            Entry last = log.get(log.size() - 1);
            return last.term + "." + last.number;
        }

        /** Writes the entry by which the server registers itself. */
        void register() {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", name);
            entry.put("address", "127.0.0.1:" + port());
            entry.put("zone", zone);
            entry.put("version", "v1");
            entry.put("capacity", 5L);
            entry.put("phase", draining ? "draining" : "ready");
            entry.put("cold_remaining_ms", 0L);
            entry.put("db_role", leads ? "primary" : "replica");
            entry.put("sequence", ++sequence);
            entry.put("born", born);
            store.put("servers", id, entry);
        }

        /** Answers nothing and receives nothing for a time, as a server whose machine is dark, and then goes on. */
        void darken(long millis) {
            synchronized (Database.this) {
                darkUntil = System.nanoTime() + millis * 1_000_000;
            }
            record.line("%s is dark at %s", id, position());
        }

        boolean dark() {
            return System.nanoTime() < darkUntil;
        }

        private void awaitLight() {
            while (dark()) Threads.sleep(20);
        }

        /** Ends all connections and answers nothing from now on; the entry stays until it is removed. */
        void crash() {
            synchronized (Database.this) {
                runs = false;
                Database.this.notifyAll();
            }
            record.line("%s crashes at %s", id, position());
            try {
                listener.close();
                for (Socket socket : sockets) socket.close();
            } catch (IOException ignored) {
                // Closed already.
            }
        }

        private void accept(ServerSocket listener) {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    Threads.start(() -> serve(socket));
                }
            } catch (IOException closed) {
                // The server has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                OutputStream output = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                Connection connection = new Connection(output);
                String line;
                while ((line = Lines.read(input)) != null) {
                    awaitLight();
                    if (!connection.handle(line)) break;
                    awaitLight();
                    output.flush();
                }
                output.flush();
            } catch (IOException closed) {
                // The peer has gone.
            } finally {
                sockets.remove(socket);
            }
        }

        private String proof() {
            return "proof." + id + "." + Long.toHexString(++proofs);
        }

        private boolean reached(String position) {
            String[] wanted = position.split("\\.");
            String[] own = position().split("\\.");
            int byTerm = Long.compare(Long.parseLong(own[0]), Long.parseLong(wanted[0]));
            return byTerm > 0 || byTerm == 0 && Long.parseLong(own[1]) >= Long.parseLong(wanted[1]);
        }

        private String value(String item) {
            for (int index = log.size() - 1; index >= 0; index--) {
                String value = log.get(index).writes.get(item);
                if (value != null) return value;
            }
            return "none";
        }

        /** Commits [writes] under the group's lock; returns null once enough replicas have them, or the error. */
        private String commit(Map<String, String> writes, String statement) {
            if (writes.isEmpty()) return null;
            if (!leads) return "READONLY " + id;
            long number = log.isEmpty() ? 1 : log.get(log.size() - 1).number + 1;
            Entry entry = new Entry(term, number, Map.copyOf(writes), statement);
            log.add(entry);
            Server newest = primary();
            if (newest != this) committedLate.add(statement);
            record.line("%s commits %d.%d %s %s%s", id, term, number, statement, writes.keySet(), newest == this ? "" : ", replaced by " + newest.id);
            for (Server other : servers) if (other != this) replicate(this, other, other.replicationMillis);
            while (runs && received(entry) < synchronousReplicas) {
                try {
                    Database.this.wait(1_000);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
            return runs ? null : "FAILED stopped";
        }

        private long received(Entry entry) {
            return servers.stream().filter(it -> it != this && it.log.contains(entry)).count();
        }

        /** The state of one connection. */
        private final class Connection {
            private final OutputStream output;
            private final Map<String, String> values = new HashMap<>();
            private final Map<String, String> prepared = new HashMap<>();
            private Map<String, String> writes;
            private boolean readsOnly;
            private boolean failed;
            private boolean connected;

            Connection(OutputStream output) {
                this.output = output;
            }

            private void send(String text) throws IOException {
                output.write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }

            boolean handle(String line) throws IOException {
                String[] words = line.split(" ", 3);
                if (words[0].equals("QUIT")) return false;
                if (!connected) {
                    String[] fields = line.split(" ");
                    boolean isThis = fields[1].equals(name) && (fields.length < 4 || fields[3].equals(id));
                    if (!isThis) {
                        send("ERROR MOVED " + id);
                        return false;
                    }
                    connected = true;
                    send("READY I " + locked());
                    return true;
                }
                String identifier = words[1];
                String text = words[2];
                String wanted = null;
                if (text.startsWith("WAITLSN ")) {
                    String[] parts = text.split(" ", 3);
                    wanted = parts[1];
                    text = parts[2];
                }
                if (!identifier.equals("-") && !text.startsWith("READ")) record.line("%s runs %s %s", id, identifier, text.length() > 60 ? text.substring(0, 60) : text);
                String answer = run(identifier, text, wanted);
                if (!answer.isEmpty()) send(answer);
                String state = failed ? "E" : writes != null ? "T" : "I";
                send("READY " + state + " " + locked());
                return true;
            }

            private String locked() {
                synchronized (Database.this) {
                    return position();
                }
            }

            private String run(String identifier, String text, String wanted) throws IOException {
                String[] words = text.split(" ", 3);
                if (failed && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) return "ERROR MALFORMED the transaction failed";
                switch (words[0]) {
                    case "RESET" -> {
                        values.clear();
                        prepared.clear();
                        return "COMPLETE -";
                    }
                    case "SET" -> {
                        values.put(words[1], words.length > 2 ? words[2] : "");
                        return "COMPLETE -";
                    }
                    case "PREPARE" -> {
                        prepared.put(words[1], words[2]);
                        return "COMPLETE -";
                    }
                    case "DEALLOC" -> {
                        prepared.remove(words[1]);
                        return "COMPLETE -";
                    }
                    case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> {
                        return control(words);
                    }
                    case "ROLLBACK" -> {
                        writes = null;
                        failed = false;
                        return "COMPLETE -";
                    }
                    default -> {
                        Threads.sleep(workMillis);
                        return work(identifier, words, wanted);
                    }
                }
            }

            private String control(String[] words) throws IOException {
                synchronized (Database.this) {
                    long wanted = words.length > 1 ? Long.parseLong(words[1]) : 0;
                    if (words[0].equals("PAUSE") && !leads && wanted > term) paused = true;
                    if (words[0].equals("RESUME")) paused = false;
                    if (words[0].equals("STEPDOWN") && leads && wanted > term) {
                        leads = false;
                        record.line("%s steps down for term %d", id, wanted);
                        register();
                    }
                    send("ROW " + (leads ? "primary" : "replica") + " " + term + " " + position() + " 0 0 " + sockets.size() + " 0");
                    return "COMPLETE -";
                }
            }

            private String work(String identifier, String[] words, String wanted) throws IOException {
                synchronized (Database.this) {
                    if (wanted != null && !reached(wanted)) return error("LAGGING " + id);
                    switch (words[0]) {
                        case "BEGIN" -> {
                            readsOnly = words.length > 1;
                            if (!readsOnly && !leads) return "ERROR READONLY " + id;
                            writes = new LinkedHashMap<>();
                            return "COMPLETE -";
                        }
                        case "COMMIT" -> {
                            Map<String, String> toCommit = writes == null ? Map.of() : writes;
                            boolean wasFailed = failed;
                            writes = null;
                            failed = false;
                            if (wasFailed) return "ERROR ABORTED the transaction failed";
                            String problem = commit(toCommit, identifier);
                            return problem == null ? "COMPLETE " + proof() : "ERROR " + problem;
                        }
                        case "EXECUTE" -> {
                            String shape = prepared.get(words[1]);
                            if (shape == null) return error("NOSTMT " + words[1]);
                            return statement(identifier, shape.split(" ")[0], words.length > 2 ? words[2] : "");
                        }
                        case "READ", "WRITE" -> {
                            String[] rest = words.length > 2 ? new String[] {words[1] + " " + words[2]} : new String[] {words[1]};
                            return statement(identifier, words[0], rest[0]);
                        }
                        default -> {
                            return "ERROR MALFORMED " + words[0];
                        }
                    }
                }
            }

            private String statement(String identifier, String kind, String arguments) throws IOException {
                String item = arguments.split(" ", 2)[0];
                if (kind.equals("READ")) {
                    String pending = writes == null ? null : writes.get(item);
                    send("ROW " + (pending != null ? pending : value(item)));
                    return "COMPLETE " + proof();
                }
                if (!leads || readsOnly && writes != null) return error("READONLY " + id);
                String data = arguments.contains(" ") ? arguments.split(" ", 2)[1] : "";
                if (writes != null) {
                    writes.put(item, data);
                    return "COMPLETE " + proof();
                }
                String problem = commit(Map.of(item, data), identifier);
                return problem == null ? "COMPLETE " + proof() : "ERROR " + problem;
            }

            private String error(String text) {
                if (writes != null) failed = true;
                return "ERROR " + text;
            }
        }
    }
}
