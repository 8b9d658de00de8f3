import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The proxies of a small deployment, started with the command of the deploy file, one per failure domain. */
final class Deployment implements AutoCloseable {
    static final String DATABASE = "jobs";
    static final String GROUP = "ledger1";
    private static final long START_LIMIT_MS = 30_000;
    private static final int DESCRIPTORS = 4_300;

    /** A proxy process. */
    static final class Proxy {
        final String node;
        final int callerPort;
        private final int operationsPort;
        private volatile Process process;

        private Proxy(String node, int callerPort, int operationsPort, Process process) {
            this.node = node;
            this.callerPort = callerPort;
            this.operationsPort = operationsPort;
            this.process = process;
        }

        long pid() {
            return process.pid();
        }


        /** Whether the proxy answers its readiness probe with 200, in the time that the platform allows. */
        boolean isReady(int timeoutMillis) {
            try {
                URI address = URI.create("http://127.0.0.1:" + operationsPort + "/ready");
                HttpURLConnection connection = (HttpURLConnection) address.toURL().openConnection();
                connection.setConnectTimeout(timeoutMillis);
                connection.setReadTimeout(timeoutMillis);
                return connection.getResponseCode() == 200;
            } catch (IOException failed) {
                return false;
            }
        }
    }

    final List<Proxy> proxies = new ArrayList<>();
    private final Path repository;
    private final Path folder;

    Deployment(Path repository, Path folder) {
        this.repository = repository;
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes the operators' configuration with one database of each consistency to the store. */
    static void configure(Store store, String consistency) {
        store.put("config", "main", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"database\":\"" + DATABASE
                + "\",\"path_prefix\":\"/\",\"type\":\"" + consistency + "\",\"timeout_ms\":1000,"
                + "\"target_latency_ms\":800,\"priority\":1,\"service\":\"" + GROUP
                + "\",\"attempts\":2,\"max_staleness_ms\":2500}],\"services\":[{\"name\":\"" + GROUP
                + "\",\"health_path\":\"/health\",\"max_conns\":" + Timing.CONNECTION_LIMIT
                + ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}");
    }

    /** Starts [count] proxies and waits until all are ready; returns false if they are not in time. */
    boolean start(int count, int storePort, int platformPort) throws IOException {
        for (int number = 1; number <= count; number++) startProxy(number, storePort, platformPort);
        long limit = System.nanoTime() + START_LIMIT_MS * 1_000_000;
        while (System.nanoTime() < limit) {
            if (proxies.stream().allMatch(proxy -> proxy.isReady(1_000))) return true;
            Threads.sleep(100);
        }
        return false;
    }

    private void startProxy(int number, int storePort, int platformPort) throws IOException {
        List<Integer> ports = freePorts(3);
        String node = "front-" + number;
        Path settings = folder.resolve(node + ".json");
        Files.writeString(settings, settings(node, number, ports, storePort, platformPort));
        proxies.add(new Proxy(node, ports.get(0), ports.get(1), launch(node)));
    }

    private Process launch(String node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HIBISCUSREACH_CONFIG", folder.resolve(node + ".json").toString());
        File output = folder.resolve(node + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        return builder.start();
    }

    /** Kills the process of [node]. */
    void kill(String node) {
        proxies.stream().filter(proxy -> proxy.node.equals(node)).forEach(proxy -> proxy.process.destroyForcibly());
    }

    /** Starts the process of [node] again with the same settings. */
    void restart(String node) throws IOException {
        for (Proxy proxy : proxies) if (proxy.node.equals(node)) proxy.process = launch(node);
    }

    /** The log of a proxy so far. */
    String log(Proxy proxy) throws IOException {
        return Files.readString(folder.resolve(proxy.node + ".log"));
    }

    private List<String> command() throws IOException {
        String line = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
        return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private String settings(String node, int number, List<Integer> ports, int storePort, int platformPort)
            throws IOException {
        Map<String, String> values = Map.of(
                "{{node_name}}", node,
                "{{zone}}", "zone-" + (char) ('a' + (number - 1) % 3),
                "{{zones|json}}", "{\"zone-a\":\"west\",\"zone-b\":\"east\",\"zone-c\":\"west\"}",
                "{{listen.front}}", "127.0.0.1:" + ports.get(0),
                "{{listen.ready}}", "127.0.0.1:" + ports.get(1),
                "{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + ports.get(2),
                "{{platform.address}}", "127.0.0.1:" + storePort,
                "{{cloud_api.address}}", "127.0.0.1:" + platformPort,
                "{{limits.max_fds}}", String.valueOf(DESCRIPTORS));
        String text = Files.readString(repository.resolve("deploy/settings.json.template"));
        for (Map.Entry<String, String> value : values.entrySet()) text = text.replace(value.getKey(), value.getValue());
        return text;
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    @Override
    public void close() {
        proxies.forEach(proxy -> proxy.process.destroyForcibly());
        for (Proxy proxy : proxies) {
            try {
                proxy.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
