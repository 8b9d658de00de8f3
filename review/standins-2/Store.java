import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: linearizable objects with revisions, conditions and watches, over HTTP. */
final class Store {
    private static final int PAGE = 500;

    private record Event(String kind, long revision, Map<String, Object> object, boolean removed) {}

    private final HttpServer server;
    private final Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Record record;
    private long revision = 100;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/objects/", this::serve);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Creates or replaces an object without a condition, as operators and servers do. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = kind(kind).get(name);
        return known == null ? created(kind, name, spec) : replaced(kind, name, known, spec);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        if (known != null) changed(kind, withRevision(known, ++revision), true);
    }

    /** The content of an object; null if there is none. */
    @SuppressWarnings("unchecked")
    synchronized Map<String, Object> spec(String kind, String name) {
        Map<String, Object> known = kind(kind).get(name);
        return known == null ? null : (Map<String, Object>) known.get("spec");
    }

    synchronized List<Map<String, Object>> specs(String kind) {
        List<Map<String, Object>> all = new ArrayList<>();
        for (String name : kind(kind).keySet()) all.add(spec(kind, name));
        return all;
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return objects.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private long created(String kind, String name, Object spec) {
        revision++;
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("name", name);
        meta.put("rev", revision);
        meta.put("create_revision", revision);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("meta", meta);
        object.put("spec", spec);
        kind(kind).put(name, object);
        changed(kind, object, false);
        return revision;
    }

    private long replaced(String kind, String name, Map<String, Object> known, Object spec) {
        if (java.util.Objects.equals(known.get("spec"), spec)) return revisionOf(known);
        Map<String, Object> object = withRevision(known, ++revision);
        object.put("spec", spec);
        kind(kind).put(name, object);
        changed(kind, object, false);
        return revision;
    }

    @SuppressWarnings("unchecked")
    private static long revisionOf(Map<String, Object> object) {
        return (Long) ((Map<String, Object>) object.get("meta")).get("rev");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> withRevision(Map<String, Object> object, long revision) {
        Map<String, Object> copy = new LinkedHashMap<>(object);
        Map<String, Object> meta = new LinkedHashMap<>((Map<String, Object>) object.get("meta"));
        meta.put("rev", revision);
        copy.put("meta", meta);
        return copy;
    }

    private void changed(String kind, Map<String, Object> object, boolean removed) {
        history.add(new Event(kind, revision, object, removed));
        if (!kind.equals("config")) record.line("store r%d %s%s %s", revision, removed ? "removed " : "", kind, Json.write(object));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String[] path = exchange.getRequestURI().getPath().split("/");
            Map<String, String> query = new HashMap<>();
            String queryText = exchange.getRequestURI().getQuery();
            if (queryText != null) {
                for (String part : queryText.split("&")) query.put(part.replaceAll("=.*", ""), part.replaceAll("^[^=]*=", ""));
            }
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String kind = path[2];
            String name = path.length > 3 ? path[3] : null;
            int[] status = {200};
            Object answer =
                switch (exchange.getRequestMethod()) {
                    case "GET" -> name != null ? one(kind, name, status) : query.containsKey("watch") ? watch(kind, query) : list(kind, query);
                    case "POST" -> create(kind, Json.object(body), status);
                    case "PUT" -> replace(kind, name, Json.object(body), status);
                    case "DELETE" -> delete(kind, name, query.get("rev"), status);
                    default -> throw new IOException("unknown method");
                };
            byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", "1");
            exchange.sendResponseHeaders(status[0], bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException | RuntimeException failure) {
            record.line("store call failed: %s", failure);
        }
    }

    private synchronized Object one(String kind, String name, int[] status) {
        Map<String, Object> known = kind(kind).get(name);
        if (known == null) status[0] = 404;
        return known == null ? Map.of() : known;
    }

    private synchronized Object list(String kind, Map<String, String> query) {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Map<String, Object>> entry : kind(kind).tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            more = items.size() == PAGE;
            if (more) break;
            items.add(entry.getValue());
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("has_more", more);
        page.put("as_of", revision);
        return page;
    }

    private synchronized Object watch(String kind, Map<String, String> query) {
        long after = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0"))) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (!event.kind.equals(kind) || event.revision <= after) continue;
                Map<String, Object> text = new LinkedHashMap<>();
                text.put("object", event.object);
                text.put("removed", event.removed);
                events.add(text);
            }
            long rest = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || rest <= 0) {
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("events", events);
                answer.put("as_of", revision);
                return answer;
            }
            try {
                wait(rest);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object create(String kind, Map<String, Object> object, int[] status) {
        String name = (String) ((Map<String, Object>) object.get("meta")).get("name");
        Map<String, Object> known = kind(kind).get(name);
        if (known != null) {
            status[0] = 409;
            return known;
        }
        created(kind, name, object.get("spec"));
        return kind(kind).get(name);
    }

    @SuppressWarnings("unchecked")
    private synchronized Object replace(String kind, String name, Map<String, Object> object, int[] status) {
        Map<String, Object> known = kind(kind).get(name);
        if (known == null) {
            status[0] = 404;
            return Map.of();
        }
        Object expected = ((Map<String, Object>) object.get("meta")).get("rev");
        if (expected != null && (Long) expected != revisionOf(known)) {
            status[0] = 409;
            return known;
        }
        replaced(kind, name, known, object.get("spec"));
        return kind(kind).get(name);
    }

    private synchronized Object delete(String kind, String name, String expected, int[] status) {
        Map<String, Object> known = kind(kind).get(name);
        if (known == null) {
            status[0] = 404;
            return Map.of();
        }
        if (expected != null && Long.parseLong(expected) != revisionOf(known)) {
            status[0] = 409;
            return known;
        }
        remove(kind, name);
        return Map.of();
    }
}
