import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback addresses: the platform, database groups and proxies. */
final class World implements AutoCloseable {
    static final String NORTH = "zone-n";
    static final String SOUTH = "zone-s";
    static final String WEST = "zone-w";
    private static final Map<String, String> REGIONS = Map.of(NORTH, "north", SOUTH, "south", WEST, "south");

    final Record record;
    final Store store;
    final Map<String, Database> databases = new LinkedHashMap<>();
    final PlatformApi platform;
    final List<Proxy> proxies = new ArrayList<>();
    private final Path folder;
    private long version = 7;
    private final List<Map<String, Object>> routes = new ArrayList<>();

    /** Whether the case runs with its disruption; false with TROUBLE=0. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Whether only the last step that leads to the loss is left out, with TROUBLE=less. */
    final boolean less = "less".equals(System.getenv("TROUBLE"));

    World(Path recordFile) throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        store = new Store(record);
        platform = new PlatformApi(databases, record);
        // A case that is stopped from outside ends its processes as well.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> proxies.forEach(Proxy::end)));
    }

    /** Adds a group of a primary and two replicas, one in each zone. */
    Database database(String name, int synchronousReplicas, long workMillis) throws IOException {
        Database database = new Database(name, synchronousReplicas, 300, workMillis, store, record);
        databases.put(name, database);
        database.add(name + "-p", NORTH, true);
        database.add(name + "-r", SOUTH, false);
        database.add(name + "-q", WEST, false);
        return database;
    }

    void route(String database, String service, String type, long maximumAgeMillis, long timeoutMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "route-" + database);
        route.put("database", database);
        route.put("type", type);
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 500L);
        route.put("priority", 1L);
        route.put("service", service);
        route.put("max_staleness_ms", maximumAgeMillis);
        routes.add(route);
    }

    /** Writes the configuration with all routes and groups. */
    void configure() {
        List<Object> services = new ArrayList<>();
        for (Database database : databases.values()) {
            Map<String, Object> service = new LinkedHashMap<>();
            service.put("name", database.name);
            service.put("max_conns", 32L);
            service.put("sync_replicas", (long) database.synchronousReplicas);
            services.add(service);
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version++);
        config.put("routes", new ArrayList<>(routes));
        config.put("services", services);
        config.put("limits", Map.of("tx_idle_ms", 3000L));
        store.put("config", "main", config);
        record.line("operator writes version %d", version - 1);
    }

    /** Adds a proxy that reaches the store and the platform at the given ports. */
    Proxy proxy(String node, String zone, int storePort, int platformPort) throws IOException {
        Proxy proxy = new Proxy(node, zone, REGIONS, storePort, platformPort, folder, record);
        proxies.add(proxy);
        return proxy;
    }

    /** Reads through each proxy all the time, so that each of them notices at once when the primary is silent. */
    void read(String database) {
        for (Proxy proxy : proxies) Threads.start(() -> readThrough(proxy, database));
    }

    private void readThrough(Proxy proxy, String database) {
        while (true) {
            try (Consumer consumer = new Consumer("reader", proxy.callerPort, database, 5_000, record, true)) {
                while (true) {
                    consumer.query("READ item");
                    Threads.sleep(20);
                }
            } catch (IOException ended) {
                Threads.sleep(100);
            }
        }
    }

    /** Starts all proxies and waits until they are ready. */
    void start() throws Exception {
        for (Proxy proxy : proxies) proxy.start();
        for (Proxy proxy : proxies) {
            if (!Threads.await(30_000, proxy::isReady)) throw new Unable(proxy.node + " is not ready: " + proxy.logText());
        }
        // The primaries are recorded once every group has its first record.
        for (Database database : databases.values()) {
            if (!Threads.await(20_000, () -> store.spec("hibiscusreach-fleet", "group." + database.name) != null)) {
                throw new Unable("no primary is recorded for " + database.name);
            }
        }
        record.line("all proxies are ready");
    }

    /**
     * A name of a group for which the proxies act in the order of [nodes]: the product ranks them by a hash of both
     * names.
     */
    static String groupName(String prefix, List<String> nodes) {
        for (int number = 0; ; number++) {
            String name = prefix + number;
            List<String> ranked = new ArrayList<>(nodes);
            ranked.sort(Comparator.comparingInt(node -> (node + name).hashCode()));
            if (ranked.equals(nodes)) return name;
        }
    }

    /** Prints the end of each proxy's log, for the case that something is unclear. */
    void keepLogs(Path target) throws IOException {
        for (Proxy proxy : proxies) Files.writeString(target.resolve(proxy.node + ".log"), proxy.logText());
    }

    @Override
    public void close() throws IOException {
        for (Proxy proxy : proxies) proxy.end();
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) keepLogs(Path.of(kept));
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
        record.close();
    }
}
