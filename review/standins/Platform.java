import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** A stand-in of the platform's calls for singleton duties: it promotes servers and checks no fencing token. */
final class Platform {
    /** Is told the holder of each promotion request after it was answered. */
    interface Listener {
        void promotionRequested(String holder) throws IOException;
    }

    private final HttpServer server;

    Platform(Group group, RunRecord record) throws IOException {
        this(group, record, Timing.PROMOTION_MS, holder -> { });
    }

    /** A promotion takes effect [promotionMillis] after its request. */
    Platform(Group group, RunRecord record, long promotionMillis, Listener requested) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon("platform")));
        server.createContext("/promotion", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String id = Json.text(body, "id");
            String holder = exchange.getRequestHeaders().getFirst("Hibiscusreach-Lease-Holder");
            record.line("promotion requested", "server", id, "holder", holder,
                    "token", exchange.getRequestHeaders().getFirst("Hibiscusreach-Fencing-Token"));
            Threads.start("promotion", () -> {
                Threads.sleep(promotionMillis);
                group.promote(id);
            });
            exchange.sendResponseHeaders(200, 2);
            exchange.getResponseBody().write("{}".getBytes(StandardCharsets.UTF_8));
            exchange.close();
            requested.promotionRequested(holder);
        });
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }
}
