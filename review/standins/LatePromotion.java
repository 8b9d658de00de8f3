import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * After a planned change of primary, the new primary is cut off from the proxies for five seconds, and the platform's
 * promotion service for five and a half. The promotion that a proxy requests meanwhile, on the connection that is still
 * open from the planned change, is delivered when the cut ends. No write may be acknowledged that the old primary
 * commits after the promotion took effect.
 */
final class LatePromotion {
    private static final int PROXIES = 3;
    private static final long PRIMARY_CUT_MS = 5_000;
    private static final long PLATFORM_CUT_AFTER_MS = 1_900;
    private static final long PLATFORM_CUT_MS = 5_500;
    private static final long DRAIN_MS = 7_000;
    private static final long CALM_MS = 3_000;
    private static final long AFTERWARDS_MS = 6_000;
    private static final long PAUSE_MS = 20;

    /** `thaw_ms`: for this long after a disruption of its links, a sender is excused. */
    private static final long EXCUSED_MS = 300;

    private LatePromotion() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        Platform platform = new Platform(group, record);
        Link platformLink = new Link("promotion service", platform.port(), record);
        Deployment.configure(store, "primary");
        long excusedUntil;
        Map<String, String> acknowledged = new ConcurrentHashMap<>();
        try (Deployment deployment = new Deployment(repository, folder)) {
            if (!deployment.start(PROXIES, store.port(), platformLink.port())) return Main.COULD_NOT_RUN;
            AtomicBoolean stop = new AtomicBoolean();
            for (Deployment.Proxy proxy : deployment.proxies) {
                for (int session = 1; session <= 2; session++) {
                    String name = proxy.node + "." + session;
                    Threads.start("caller", () -> write(proxy, name, record, acknowledged, stop));
                }
            }
            Threads.sleep(CALM_MS);
            if (acknowledged.isEmpty()) return Main.COULD_NOT_RUN;
            DatabaseServer first = group.leader();
            group.replacePrimary(DRAIN_MS);
            Threads.sleep(DRAIN_MS + CALM_MS);
            if (group.leader() == first) return Main.COULD_NOT_RUN;
            if (trouble) disturb(group.leader().link, platformLink);
            excusedUntil = System.nanoTime() + EXCUSED_MS * 1_000_000;
            Threads.sleep(AFTERWARDS_MS);
            stop.set(true);
            Threads.sleep(1_500);
        }
        return judge(group, record, acknowledged, trouble ? excusedUntil : 0);
    }

    private static void disturb(Link primaryLink, Link platformLink) {
        primaryLink.cut();
        Threads.sleep(PLATFORM_CUT_AFTER_MS);
        platformLink.cut();
        Threads.sleep(PRIMARY_CUT_MS - PLATFORM_CUT_AFTER_MS);
        primaryLink.heal();
        Threads.sleep(PLATFORM_CUT_AFTER_MS + PLATFORM_CUT_MS - PRIMARY_CUT_MS);
        platformLink.heal();
    }

    private static void write(
            Deployment.Proxy proxy, String name, RunRecord record, Map<String, String> acknowledged, AtomicBoolean stop) {
        int number = 0;
        while (!stop.get()) {
            try (Client client = new Client(proxy.callerPort, Deployment.DATABASE, 4_000)) {
                while (!stop.get()) {
                    String query = name + "." + ++number;
                    record.line("sent", "query", query, "proxy", proxy.node);
                    Client.Answer answer = client.query(query, "WRITE item" + number % 50 + " data" + number);
                    record.line("answered", "query", query, "code", answer.code(), "proof", answer.proof());
                    if (answer.succeeded()) acknowledged.put(query, answer.proof());
                    Threads.sleep(answer.succeeded() ? PAUSE_MS : 10 * PAUSE_MS);
                }
            } catch (IOException failed) {
                record.line("session ended", "caller", name, "reason", failed.getMessage());
                Threads.sleep(200);
            }
        }
    }

    private static int judge(Group group, RunRecord record, Map<String, String> acknowledged, long excusedUntil) {
        List<String> broken = acknowledged.keySet().stream()
                .filter(query -> record.runs().getOrDefault(query, List.of()).stream()
                        .anyMatch(run -> run.atReplacedPrimary() && run.nanos() > excusedUntil))
                .sorted().toList();
        List<String> kept;
        synchronized (group) {
            kept = group.leader().log.stream().map(Group.Entry::query).toList();
        }
        long lost = acknowledged.keySet().stream().filter(query -> !kept.contains(query)).count();
        record.line("result", "acknowledged", acknowledged.size(), "committedAtReplacedPrimary", broken.size(),
                "acknowledgedButNotInTheLog", lost);
        broken.forEach(query -> record.line("acknowledged after a promotion took effect", "query", query));
        System.out.println(acknowledged.size() + " writes acknowledged, " + broken.size()
                + " of them committed at the old primary after the promotion took effect; " + lost + " are lost");
        return broken.isEmpty() ? Main.HELD : Main.BROKEN;
    }
}
