import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The servers of a service are replaced one after the other. The machine that does so is cut off from the platform's
 * interface for promotions and is stopped, as planned. Another machine goes on. The request of the first one arrives when
 * the cut ends, and replaces a primary that was named later.
 */
final class LatePromotion {
    private static final long CUT_MILLIS = 5_500;

    private LatePromotion() {}

    public static void main(String[] arguments) {
        Case.main(arguments, LatePromotion::run);
    }

    private static boolean run(World world) throws Exception {
        List<String> nodes = List.of("front-a", "front-b", "front-c");
        String name = World.groupName("orders", nodes);
        Database database = world.database(name, 0, 3);
        // The new servers start first.
        database.add(name + "-s", World.SOUTH, false);
        database.add(name + "-t", World.WEST, false);
        database.add(name + "-u", World.NORTH, false);
        world.route("orders", name, "primary", 0, 1000);
        world.configure();
        Cable cable = new Cable(world.platform.port());
        Proxy first = world.proxy("front-a", World.NORTH, world.store.port(), cable.port());
        world.proxy("front-b", World.SOUTH, world.store.port(), world.platform.port());
        world.proxy("front-c", World.WEST, world.store.port(), world.platform.port());
        world.start();
        Threads.sleep(12_000);
        List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());
        for (Proxy proxy : world.proxies.subList(1, 3)) Threads.start(() -> write(world, proxy, acknowledged));

        Releases.replace(world, database, 10_000);
        Threads.sleep(2_000);
        if (world.trouble) cable.cut();
        world.record.line(world.trouble ? "front-a is cut off from the platform's promotions" : "no cut");
        long start = System.nanoTime();
        Threads.sleep(200);
        Releases.drain(world, database);
        Threads.sleep(600);
        first.stop();
        Threads.start(() -> startAgain(world, first));
        if (!Threads.await(10_000, () -> Releases.isReplaced(world, database))) throw new Unable("the second primary was not replaced");
        Releases.replace(world, database, 10_000);
        Threads.sleep(CUT_MILLIS - (System.nanoTime() - start) / 1_000_000);
        cable.heal();
        world.record.line("the path of front-a is whole again");
        Threads.sleep(10_000);

        boolean broken = Releases.lowerTokenArrived(world);
        List<String> log = database.leaderLog();
        synchronized (database) {
            for (String statement : database.committedLate) {
                if (!acknowledged.contains(statement)) continue;
                String fate = log.contains(statement) ? "" : ", and is lost";
                world.record.line("ONE: %s was committed at the old primary, acknowledged%s", statement, fate);
                broken = true;
            }
        }
        return broken;
    }

    private static void write(World world, Proxy proxy, List<String> acknowledged) {
        for (int number = 0; ; number++) {
            try (Consumer consumer = new Consumer("writer at " + proxy.node, proxy.callerPort, "orders", 5_000, world.record)) {
                while (true) {
                    Consumer.Answer answer = consumer.query("WRITE " + proxy.node + "-" + number++ + " done");
                    if (answer.succeeded()) acknowledged.add(answer.identifier());
                    Threads.sleep(100);
                }
            } catch (IOException ended) {
                Threads.sleep(100);
            }
        }
    }

    private static void startAgain(World world, Proxy proxy) {
        try {
            if (!proxy.awaitEnd(6_000)) proxy.kill();
            Threads.sleep(1_000);
            proxy.start();
        } catch (IOException | InterruptedException failed) {
            world.record.line("%s could not be started again: %s", proxy.node, failed);
        }
    }
}
