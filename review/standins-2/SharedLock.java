import java.util.List;

/**
 * One machine replaces two primaries while it is cut off from the platform's interface for promotions for a moment. It
 * gives the duty away after the answer to its first request, while its second one is on its way.
 */
final class SharedLock {
    /** Times after the first request was sent. The second one is sent before the end of the cut. */
    private static final long SECOND_RELEASE_MILLIS = 450;
    private static final long CUT_END_MILLIS = 1_050;

    private SharedLock() {}

    public static void main(String[] arguments) {
        Case.main(arguments, SharedLock::run);
    }

    private static boolean run(World world) throws Exception {
        List<String> nodes = List.of("front-a", "front-b", "front-c");
        Database earlier = world.database(World.groupName("quotes", nodes), 0, 3);
        Database first = world.database(World.groupName("orders", nodes), 0, 3);
        Database second = world.database(World.groupName("ledger", nodes), 0, 3);
        Database third = world.database(World.groupName("stock", List.of("front-b", "front-c", "front-a")), 0, 3);
        for (Database database : List.of(earlier, first, second, third)) {
            world.route("db-" + database.name, database.name, "primary", 0, 1000);
        }
        world.configure();
        Cable cable = new Cable(world.platform.port());
        world.proxy("front-a", World.NORTH, world.store.port(), cable.port());
        world.proxy("front-b", World.SOUTH, world.store.port(), world.platform.port());
        world.proxy("front-c", World.WEST, world.store.port(), world.platform.port());
        world.start();
        // The era of the store is settled after the time of a lease; changes begin at once from then on.
        Threads.sleep(12_000);
        Releases.replace(world, earlier, 10_000);
        Threads.sleep(2_000);

        if (world.trouble) cable.cut();
        world.record.line(world.trouble ? "front-a is cut off from the platform's promotions" : "no cut");
        Releases.drain(world, first);
        if (world.trouble) {
            if (!Threads.await(5_000, () -> Releases.holds(world, "front-a"))) throw new Unable("front-a does not get the lock");
        }
        long start = System.nanoTime();
        Releases.drain(world, third);
        Threads.sleep(SECOND_RELEASE_MILLIS);
        Releases.drain(world, second);
        Threads.sleep(CUT_END_MILLIS - (System.nanoTime() - start) / 1_000_000);
        cable.heal();
        world.record.line("the path of front-a is whole again");
        Threads.sleep(10_000);
        return Releases.lowerTokenArrived(world);
    }
}
