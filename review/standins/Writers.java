import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Sessions that write without a pause at every proxy, and the check of what was acknowledged. */
final class Writers {
    private static final int SESSIONS_PER_PROXY = 2;
    private static final long PAUSE_MS = 20;
    private static final long RETRY_MS = 200;
    private final Map<String, String> acknowledged = new ConcurrentHashMap<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final RunRecord record;

    Writers(RunRecord record) {
        this.record = record;
    }

    void start(Deployment deployment) {
        for (Deployment.Proxy proxy : deployment.proxies) {
            for (int session = 1; session <= SESSIONS_PER_PROXY; session++) {
                String name = proxy.node + "." + session;
                Threads.start("caller", () -> write(proxy, name));
            }
        }
    }

    /** Whether any write was acknowledged so far. */
    boolean haveSucceeded() {
        return !acknowledged.isEmpty();
    }

    void stop() {
        stopped.set(true);
        Threads.sleep(1_500);
    }

    private void write(Deployment.Proxy proxy, String name) {
        int number = 0;
        while (!stopped.get()) {
            try (Client client = new Client(proxy.callerPort, Deployment.DATABASE, 4_000)) {
                while (!stopped.get()) {
                    String query = name + "." + ++number;
                    record.line("sent", "query", query, "proxy", proxy.node);
                    Client.Answer answer = client.query(query, "WRITE item" + number % 50 + " data" + number);
                    record.line("answered", "query", query, "code", answer.code(), "proof", answer.proof());
                    if (answer.succeeded()) acknowledged.put(query, answer.proof());
                    Threads.sleep(answer.succeeded() ? PAUSE_MS : RETRY_MS);
                }
            } catch (IOException failed) {
                record.line("session ended", "caller", name, "reason", failed.getMessage());
                Threads.sleep(RETRY_MS);
            }
        }
    }

    /**
     * Whether a write was acknowledged that the old primary committed after a promotion took effect, and later than
     * [excusedUntil], which is a time of [System.nanoTime].
     */
    int judge(Group group, long excusedUntil) {
        List<String> broken = acknowledged.keySet().stream()
                .filter(query -> record.runs().getOrDefault(query, List.of()).stream()
                        .anyMatch(run -> run.atReplacedPrimary() && run.nanos() > excusedUntil))
                .sorted().toList();
        List<String> kept;
        synchronized (group) {
            kept = group.leader().log.stream().map(Group.Entry::query).toList();
        }
        long lost = acknowledged.keySet().stream().filter(query -> !kept.contains(query)).count();
        broken.forEach(query -> record.line("acknowledged after a promotion took effect", "query", query));
        record.line("result", "acknowledged", acknowledged.size(), "committedAtReplacedPrimary", broken.size(),
                "acknowledgedButNotInTheLog", lost);
        System.out.println(acknowledged.size() + " writes acknowledged, " + broken.size()
                + " of them committed at the old primary after the promotion took effect; " + lost + " are lost");
        return broken.isEmpty() ? Main.HELD : Main.BROKEN;
    }
}
