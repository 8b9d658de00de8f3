import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's object store: objects by kind and name, conditional writes, and watches. */
final class Store {
    private record Change(long revision, String kind, String name, String spec, boolean removed, long nanos) {}

    private static final class Stored {
        String spec;
        long revision;
    }

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;

    /** The last revision of which the history is gone. */
    private long discarded;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon("store")));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Writes an object without a condition, as the operator and the servers do. */
    synchronized void put(String kind, String name, String spec) {
        Stored stored = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).computeIfAbsent(name, ignored -> new Stored());
        if (spec.equals(stored.spec)) return;
        write(kind, name, stored, spec);
    }

    /** The content of an object; null if there is none. */
    synchronized String get(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return stored == null ? null : stored.spec;
    }

    /** Removes an object without a condition. */
    synchronized void remove(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (stored == null) return;
        history.add(new Change(++revision, kind, name, stored.spec, true, System.nanoTime()));
        notifyAll();
    }

    private void write(String kind, String name, Stored stored, String spec) {
        stored.spec = spec;
        stored.revision = ++revision;
        history.add(new Change(revision, kind, name, spec, false, System.nanoTime()));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String[] path = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Thread.sleep(Timing.STORE_ANSWER_MS);
            switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    if (query.containsKey("watch")) watch(exchange, path[0], query);
                    else if (path.length > 1) one(exchange, path[0], path[1]);
                    else list(exchange, path[0]);
                }
                case "POST" -> create(exchange, path[0], body);
                case "PUT" -> replace(exchange, path[0], path[1], body);
                case "DELETE" -> delete(exchange, path[0], path[1], query.get("rev"));
                default -> answer(exchange, 405, "{}");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void list(HttpExchange exchange, String kind) throws IOException {
        StringBuilder text = new StringBuilder("{\"items\":[");
        synchronized (this) {
            String separator = "";
            for (Map.Entry<String, Stored> entry : kinds.getOrDefault(kind, new TreeMap<>()).entrySet()) {
                text.append(separator).append(object(entry.getKey(), entry.getValue().revision, entry.getValue().spec));
                separator = ",";
            }
            text.append("],\"has_more\":false,\"as_of\":").append(revision).append('}');
        }
        answer(exchange, 200, text.toString());
    }

    private void one(HttpExchange exchange, String kind, String name) throws IOException {
        String text;
        synchronized (this) {
            Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            text = stored == null ? null : object(name, stored.revision, stored.spec);
        }
        answer(exchange, text == null ? 404 : 200, text == null ? "{}" : text);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        StringBuilder text = new StringBuilder("{\"events\":[");
        synchronized (this) {
            long oldest = System.nanoTime() - Timing.HISTORY_MS * 1_000_000;
            while (!history.isEmpty() && history.get(0).nanos < oldest) discarded = history.remove(0).revision;
            if (since < discarded) {
                answer(exchange, 410, "{}");
                return;
            }
            List<Change> changes = changes(kind, since);
            while (changes.isEmpty() && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                changes = changes(kind, since);
            }
            String separator = "";
            for (Change change : changes) {
                text.append(separator).append("{\"removed\":").append(change.removed).append(",\"object\":");
                text.append(object(change.name, change.revision, change.spec)).append('}');
                separator = ",";
            }
            text.append("],\"as_of\":").append(revision).append('}');
        }
        answer(exchange, 200, text.toString());
    }

    private List<Change> changes(String kind, long since) {
        return history.stream().filter(change -> change.revision > since && change.kind.equals(kind)).toList();
    }

    private void create(HttpExchange exchange, String kind, String body) throws IOException {
        String name = Json.text(Json.member(body, "meta"), "name");
        String text;
        int status = 200;
        synchronized (this) {
            TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
            if (objects.containsKey(name)) {
                status = 409;
            } else {
                Stored stored = new Stored();
                objects.put(name, stored);
                write(kind, name, stored, Json.member(body, "spec"));
            }
            text = object(name, objects.get(name).revision, objects.get(name).spec);
        }
        answer(exchange, status, text);
    }

    private void replace(HttpExchange exchange, String kind, String name, String body) throws IOException {
        String expected = Json.member(Json.member(body, "meta"), "rev");
        String text = "{}";
        int status = 200;
        synchronized (this) {
            Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (stored == null) {
                status = 404;
            } else {
                if (expected != null && Long.parseLong(expected) != stored.revision) status = 409;
                else if (!Json.member(body, "spec").equals(stored.spec)) write(kind, name, stored, Json.member(body, "spec"));
                text = object(name, stored.revision, stored.spec);
            }
        }
        answer(exchange, status, text);
    }

    private void delete(HttpExchange exchange, String kind, String name, String expected) throws IOException {
        int status = 200;
        synchronized (this) {
            TreeMap<String, Stored> objects = kinds.getOrDefault(kind, new TreeMap<>());
            Stored stored = objects.get(name);
            if (stored == null) {
                status = 404;
            } else if (expected != null && Long.parseLong(expected) != stored.revision) {
                status = 409;
            } else {
                objects.remove(name);
                history.add(new Change(++revision, kind, name, stored.spec, true, System.nanoTime()));
                notifyAll();
            }
        }
        answer(exchange, status, "{}");
    }

    private static String object(String name, long revision, String spec) {
        return "{\"meta\":{\"name\":\"" + name + "\",\"rev\":" + revision
                + ",\"create_revision\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> fields = new HashMap<>();
        if (text == null) return fields;
        for (String field : text.split("&")) {
            String[] parts = field.split("=", 2);
            fields.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return fields;
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
