import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A few times, the primary is dark for a moment, and the process of the proxy that requests the promotion of another
 * server is killed right after its request. No write may be acknowledged that an old primary commits after the promotion
 * took effect.
 */
final class ChangerKilled {
    private static final int PROXIES = 3;
    private static final int ROUNDS = 5;
    private static final long CALM_MS = 4_000;
    private static final long RESTART_DELAY_MS = 3_000;
    private static final long ROUND_MS = 9_000;
    private static final long DARK_LIMIT_MS = 7_000;
    private static final long PROMOTION_MS = 1_000;

    private ChangerKilled() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        Deployment.configure(store, "primary");
        Writers writers = new Writers(record);
        AtomicBoolean dark = new AtomicBoolean();
        try (Deployment deployment = new Deployment(repository, folder)) {
            Platform platform = new Platform(group, record, PROMOTION_MS, holder -> {
                if (!dark.getAndSet(false)) return;
                deployment.kill(holder);
                record.line("process killed", "proxy", holder);
                group.leader().recover();
                Threads.sleep(RESTART_DELAY_MS);
                deployment.restart(holder);
                record.line("process started again", "proxy", holder);
            });
            if (!deployment.start(PROXIES, store.port(), platform.port())) return Main.COULD_NOT_RUN;
            writers.start(deployment);
            for (int round = 1; round <= ROUNDS; round++) {
                Threads.sleep(CALM_MS);
                if (!writers.haveSucceeded()) return Main.COULD_NOT_RUN;
                if (trouble && !disturb(group, dark)) return Main.COULD_NOT_RUN;
                Threads.sleep(ROUND_MS);
            }
            writers.stop();
        }
        return writers.judge(group, 0);
    }

    // Returns false if no promotion is requested while the primary may be dark.
    private static boolean disturb(Group group, AtomicBoolean dark) {
        dark.set(true);
        group.leader().crash();
        long limit = System.nanoTime() + DARK_LIMIT_MS * 1_000_000;
        while (dark.get() && System.nanoTime() < limit) Threads.sleep(10);
        return !dark.get();
    }
}
