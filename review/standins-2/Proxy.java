import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy as a process of its own, started with the command of the deploy file. */
final class Proxy {
    final String node;
    final int callerPort = Ports.free();
    final int readyPort = Ports.free();
    final int peerPort = Ports.free();
    private final Path settings;
    private final Path log;
    private final Record record;
    private Process process;
    private boolean ended;

    Proxy(String node, String zone, Map<String, String> regions, int storePort, int promotionPort, Path folder, Record record)
        throws IOException {
        this.node = node;
        this.record = record;
        settings = folder.resolve(node + ".json");
        log = folder.resolve(node + ".log");
        // The template of the deploy file, filled in for a machine of a small deployment.
        Files.writeString(
            settings,
            Json.write(
                Map.ofEntries(
                    Map.entry("node", node),
                    Map.entry("failureDomain", zone),
                    Map.entry("regions", regions),
                    Map.entry("callerAddress", "127.0.0.1:" + callerPort),
                    Map.entry("operationsAddress", "127.0.0.1:" + readyPort),
                    Map.entry("peerAddress", "127.0.0.1:" + peerPort),
                    Map.entry("storeAddress", "127.0.0.1:" + storePort),
                    Map.entry("promotionAddress", "127.0.0.1:" + promotionPort),
                    Map.entry("descriptorLimit", 4300L),
                    Map.entry("logLevel", "info"),
                    Map.entry("configurationLimitMillis", 3000L),
                    Map.entry("contracts", List.of("base", "drain", "config", "cost", "recover", "sql", "platform")),
                    Map.entry("tenants", Map.of()))));
    }

    synchronized void start() throws IOException {
        if (ended) return;
        List<String> command = new ArrayList<>(List.of(DeployFile.command()));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> own = System.getenv();
        builder.environment().clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (own.containsKey(name)) builder.environment().put(name, own.get(name));
        }
        builder.environment().put("HIBISCUSREACH_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        record.line("%s starts as process %d", node, process.pid());
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://127.0.0.1:" + readyPort + "/ready").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Asks the process to stop with SIGTERM, as the platform does before a planned stop. */
    void stop() {
        record.line("%s gets SIGTERM", node);
        process.destroy();
    }

    /** Ends the process with SIGKILL. */
    void kill() {
        record.line("%s gets SIGKILL", node);
        process.destroyForcibly();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Ends the process for good. */
    synchronized void end() {
        ended = true;
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    String logText() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
