import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Commits wait for one of two replicas. The one that has the latest commit is lost for good while the other one receives
 * nothing, and the primary goes dark meanwhile. One proxy is stopped and started after the loss, as planned. Without
 * trouble there is only the planned stop, and with less trouble all but that.
 */
final class DepartedReplica {
    private DepartedReplica() {}

    public static void main(String[] arguments) {
        Case.main(arguments, DepartedReplica::run);
    }

    private static boolean run(World world) throws Exception {
        List<String> nodes = List.of("front-a", "front-b", "front-c");
        String name = World.groupName("ledger", nodes);
        Database database = world.database(name, 1, 3);
        world.route("signoffs", name, "primary", 0, 1000);
        world.configure();
        world.proxy("front-a", World.NORTH, world.store.port(), world.platform.port());
        world.proxy("front-b", World.SOUTH, world.store.port(), world.platform.port());
        world.proxy("front-c", World.WEST, world.store.port(), world.platform.port());
        world.start();
        world.read("signoffs");
        Threads.sleep(12_000);
        Database.Server primary = database.server(name + "-p");
        Database.Server reached = database.server(name + "-r");
        Database.Server deaf = database.server(name + "-q");

        List<String> acknowledged = new ArrayList<>();
        CountDownLatch removed = new CountDownLatch(1);
        long start;
        try (Consumer consumer = new Consumer("consumer", world.proxies.get(2).callerPort, "signoffs", 5_000, world.record)) {
            SignOffs.write(consumer, acknowledged);
            if (!world.less) Threads.start(() -> restart(world, world.proxies.get(0), removed));
            Threads.sleep(1_300);
            start = System.nanoTime();
            if (world.trouble) {
                deaf.deaf = true;
                world.record.line("%s receives nothing", deaf.id);
            }
            SignOffs.write(consumer, acknowledged);
        }
        if (world.trouble) reached.crash();
        until(start, 3_700);
        if (world.trouble) world.store.remove("servers", reached.id);
        removed.countDown();
        until(start, 6_200);
        if (world.trouble) primary.darken(7_000);
        until(start, 6_400);
        deaf.deaf = false;
        world.record.line("%s receives again", deaf.id);
        Threads.sleep(15_000);
        return SignOffs.areMissing(world, database, acknowledged);
    }

    // The process starts again after the entry of the lost replica has gone.
    private static void restart(World world, Proxy proxy, CountDownLatch removed) {
        try {
            proxy.stop();
            if (!proxy.awaitEnd(6_000)) proxy.kill();
            removed.await();
            proxy.start();
        } catch (IOException | InterruptedException failed) {
            world.record.line("%s could not be restarted: %s", proxy.node, failed);
        }
    }

    private static void until(long start, long millis) {
        Threads.sleep(millis - (System.nanoTime() - start) / 1_000_000);
    }
}
