import java.io.IOException;
import java.nio.file.Path;

/**
 * After a planned change of primary, the new primary crashes and is back after five seconds. Meanwhile the platform's
 * promotion service is cut off for five and a half seconds. The promotion that a proxy requests, on the connection that is
 * still open from the planned change, is delivered when the cut ends. No write may be acknowledged that the old primary
 * commits after the promotion took effect.
 */
final class LatePromotion {
    private static final int PROXIES = 3;
    private static final long DARK_MS = 5_000;
    private static final long PLATFORM_CUT_AFTER_MS = 1_900;
    private static final long PLATFORM_CUT_MS = 5_500;
    private static final long DRAIN_MS = 7_000;
    private static final long CALM_MS = 3_000;
    private static final long AFTERWARDS_MS = 6_000;

    /** `thaw_ms`: for this long after a disruption of its links, a sender is excused. */
    private static final long EXCUSED_MS = 300;

    private LatePromotion() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        Platform platform = new Platform(group, record);
        Link platformLink = new Link("promotion service", platform.port(), record);
        Deployment.configure(store, "primary");
        long excusedUntil = System.nanoTime();
        Writers writers = new Writers(record);
        try (Deployment deployment = new Deployment(repository, folder)) {
            if (!deployment.start(PROXIES, store.port(), platformLink.port())) return Main.COULD_NOT_RUN;
            writers.start(deployment);
            Threads.sleep(CALM_MS);
            if (!writers.haveSucceeded()) return Main.COULD_NOT_RUN;
            DatabaseServer first = group.leader();
            group.replacePrimary(DRAIN_MS);
            Threads.sleep(DRAIN_MS + CALM_MS);
            if (group.leader() == first) return Main.COULD_NOT_RUN;
            if (trouble) {
                disturb(group.leader(), platformLink);
                excusedUntil = System.nanoTime() + EXCUSED_MS * 1_000_000;
            }
            Threads.sleep(AFTERWARDS_MS);
            writers.stop();
        }
        return writers.judge(group, excusedUntil);
    }

    private static void disturb(DatabaseServer primary, Link platformLink) {
        primary.crash();
        Threads.sleep(PLATFORM_CUT_AFTER_MS);
        platformLink.cut();
        Threads.sleep(DARK_MS - PLATFORM_CUT_AFTER_MS);
        primary.recover();
        Threads.sleep(PLATFORM_CUT_AFTER_MS + PLATFORM_CUT_MS - DARK_MS);
        platformLink.heal();
    }

}
