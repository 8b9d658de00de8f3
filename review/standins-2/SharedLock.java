import java.util.List;

/**
 * One machine replaces two primaries, and its path to the platform's interface for promotions is slow. It gives the duty
 * away after the answer to its first request, while its second one is on its way.
 */
final class SharedLock {
    /** Delay of the path in each direction; an answer then comes within the time that the product allows for it. */
    private static final long DELAY_MILLIS = 700;
    private static final long BETWEEN_MILLIS = 1_220;

    private SharedLock() {}

    public static void main(String[] arguments) {
        Case.main(arguments, SharedLock::run);
    }

    private static boolean run(World world) throws Exception {
        List<String> nodes = List.of("front-a", "front-b", "front-c");
        Database first = world.database(World.groupName("orders", nodes), 0, 3);
        Database second = world.database(World.groupName("ledger", nodes), 0, 3);
        Database third = world.database(World.groupName("stock", List.of("front-b", "front-c", "front-a")), 0, 3);
        for (Database database : List.of(first, second, third)) world.route("db-" + database.name, database.name, "primary", 0, 1000);
        world.configure();
        Cable cable = new Cable(world.platform.port());
        world.proxy("front-a", World.NORTH, world.store.port(), cable.port());
        world.proxy("front-b", World.SOUTH, world.store.port(), world.platform.port());
        world.proxy("front-c", World.WEST, world.store.port(), world.platform.port());
        world.start();
        // The era of the store is settled after the time of a lease; changes begin at once from then on.
        Threads.sleep(12_000);

        if (world.trouble) cable.delay(DELAY_MILLIS);
        world.record.line(world.trouble ? "the path of front-a to the platform is slow" : "no delay");
        Releases.drain(world, first);
        Threads.sleep(BETWEEN_MILLIS / 2);
        Releases.drain(world, third);
        Threads.sleep(BETWEEN_MILLIS - BETWEEN_MILLIS / 2);
        Releases.drain(world, second);
        Threads.sleep(12_000);
        return Releases.lowerTokenArrived(world);
    }
}
