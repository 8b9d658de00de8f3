import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The primary is dark for a moment, and the process of the proxy that requests the promotion of another server is killed
 * right after its request. No write may be acknowledged that the old primary commits after the promotion took effect.
 */
final class ChangerKilled {
    private static final int PROXIES = 3;
    private static final long RESTART_DELAY_MS = 3_000;
    private static final long CALM_MS = 4_000;
    private static final long AFTERWARDS_MS = 10_000;
    private static final long DARK_LIMIT_MS = 7_000;
    private static final long PROMOTION_MS = Long.getLong("promote", 600);

    private ChangerKilled() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        DatabaseServer primary = group.leader();
        Deployment.configure(store, "primary");
        Writers writers = new Writers(record);
        AtomicBoolean requested = new AtomicBoolean();
        try (Deployment deployment = new Deployment(repository, folder)) {
            Platform platform = new Platform(group, record, PROMOTION_MS, holder -> {
                if (requested.getAndSet(true)) return;
                deployment.kill(holder);
                record.line("process killed", "proxy", holder);
                primary.recover();
                Threads.sleep(RESTART_DELAY_MS);
                deployment.restart(holder);
                record.line("process started again", "proxy", holder);
            });
            if (!deployment.start(PROXIES, store.port(), platform.port())) return Main.COULD_NOT_RUN;
            writers.start(deployment);
            Threads.sleep(CALM_MS);
            if (!writers.haveSucceeded()) return Main.COULD_NOT_RUN;
            if (trouble) {
                primary.crash();
                long limit = System.nanoTime() + DARK_LIMIT_MS * 1_000_000;
                while (!requested.get() && System.nanoTime() < limit) Threads.sleep(10);
                if (!requested.get()) return Main.COULD_NOT_RUN;
            }
            Threads.sleep(AFTERWARDS_MS);
            writers.stop();
        }
        return writers.judge(group, 0);
    }
}
