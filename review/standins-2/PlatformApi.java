import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's interface for promotions, which does not check fencing tokens. */
final class PlatformApi {
    /** A promotion request as it arrived. */
    record Request(String holder, long token, String service, String id) {}

    final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    private final HttpServer server;
    private final Map<String, Database> databases;
    private final Record record;

    PlatformApi(Map<String, Database> databases, Record record) throws IOException {
        this.databases = databases;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/promotion", this::serve);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, Object> body = Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            String holder = exchange.getRequestHeaders().getFirst("Hibiscusreach-Lease-Holder");
            long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Hibiscusreach-Fencing-Token"));
            Request request = new Request(holder, token, (String) body.get("service"), (String) body.get("id"));
            int status;
            synchronized (this) {
                requests.add(request);
                Database database = databases.get(request.service);
                status = database == null ? 404 : database.promote(request.id);
                record.line("platform gets promotion of %s in %s by %s with token %d: %d", request.id, request.service, holder, token, status);
            }
            byte[] bytes = "{}".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
