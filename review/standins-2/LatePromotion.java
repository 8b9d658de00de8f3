import java.util.List;

/**
 * One machine is cut off from the platform's interface for promotions while it replaces a primary. Another machine gets
 * the duty meanwhile. The request of the first one is delivered when the cut ends.
 */
final class LatePromotion {
    private static final long CUT_MILLIS = 5_500;

    private LatePromotion() {}

    public static void main(String[] arguments) {
        Case.main(arguments, LatePromotion::run);
    }

    private static boolean run(World world) throws Exception {
        List<String> nodes = List.of("front-a", "front-b", "front-c");
        Database earlier = world.database(World.groupName("ledger", nodes), 0, 3);
        Database first = world.database(World.groupName("orders", nodes), 0, 3);
        Database second = world.database(World.groupName("stock", List.of("front-b", "front-c", "front-a")), 0, 3);
        for (Database database : List.of(earlier, first, second)) world.route("db-" + database.name, database.name, "primary", 0, 1000);
        world.configure();
        Cable cable = new Cable(world.platform.port());
        world.proxy("front-a", World.NORTH, world.store.port(), cable.port());
        world.proxy("front-b", World.SOUTH, world.store.port(), world.platform.port());
        world.proxy("front-c", World.WEST, world.store.port(), world.platform.port());
        world.start();
        Threads.sleep(3_000);

        // The servers of the services are replaced one after the other, primaries first.
        Releases.drain(world, earlier);
        if (!Threads.await(10_000, () -> Releases.isReplaced(world, earlier))) throw new Unable("the first primary was not replaced");
        Threads.sleep(2_000);

        if (world.trouble) cable.cut();
        world.record.line(world.trouble ? "front-a is cut off from the platform" : "no cut");
        Threads.sleep(200);
        Releases.drain(world, first);
        Threads.sleep(1_000);
        Releases.drain(world, second);
        Threads.sleep(CUT_MILLIS - 1_200);
        cable.heal();
        world.record.line("the path of front-a to the platform is whole again");
        Threads.sleep(8_000);

        return Releases.lowerTokenArrived(world);
    }
}
