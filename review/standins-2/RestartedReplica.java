import java.util.ArrayList;
import java.util.List;

/**
 * Commits wait for one of two replicas. One of these receives nothing for a while and the primary goes dark meanwhile;
 * the other replica, which has the latest commit, starts again under its name without a log. With less trouble it does not
 * start again, and without trouble all servers go on.
 */
final class RestartedReplica {
    private RestartedReplica() {}

    public static void main(String[] arguments) {
        Case.main(arguments, RestartedReplica::run);
    }

    private static boolean run(World world) throws Exception {
        Database database = world.database("ledger", 1, 3);
        world.route("signoffs", "ledger", "primary", 0, 1000);
        world.configure();
        for (String zone : List.of(World.NORTH, World.SOUTH, World.WEST)) {
            world.proxy("front-" + zone, zone, world.store.port(), world.platform.port());
        }
        world.start();
        world.read("signoffs");
        Threads.sleep(12_000);
        Database.Server primary = database.server("ledger-p");
        Database.Server reached = database.server("ledger-r");
        Database.Server deaf = database.server("ledger-q");

        List<String> acknowledged = new ArrayList<>();
        try (Consumer consumer = new Consumer("consumer", world.proxies.get(0).callerPort, "signoffs", 5_000, world.record)) {
            SignOffs.write(consumer, acknowledged);
            Threads.sleep(500);
            if (world.trouble) {
                deaf.deaf = true;
                world.record.line("%s receives nothing", deaf.id);
            }
            Threads.sleep(200);
            SignOffs.write(consumer, acknowledged);
        }
        Threads.sleep(300);
        if (world.trouble) primary.darken(7_000);
        if (world.trouble && !world.less) {
            reached.crash();
            Threads.sleep(1_000);
            reached.restart();
        } else {
            Threads.sleep(1_000);
        }
        Threads.sleep(4_500);
        deaf.deaf = false;
        world.record.line("%s receives again", deaf.id);
        Threads.sleep(12_000);
        return SignOffs.areMissing(world, database, acknowledged);
    }
}
