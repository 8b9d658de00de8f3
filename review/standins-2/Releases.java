/** Planned replacements of primaries, and the check of the promotions that they cause. */
final class Releases {
    private Releases() {}

    /** The primary reports that it drains, as before a planned shutdown. */
    static void drain(World world, Database database) {
        Database.Server primary = database.primary();
        synchronized (database) {
            primary.draining = true;
            primary.register();
        }
        world.record.line("%s drains", primary.id);
    }

    /** Lets the primary drain and waits until another server leads in its place. */
    static void replace(World world, Database database, long limitMillis) throws Exception {
        drain(world, database);
        if (!Threads.await(limitMillis, () -> isReplaced(world, database))) throw new Unable("the primary was not replaced");
    }

    /** Whether the store's record names the primary that leads in place of one that drains. */
    static boolean isReplaced(World world, Database database) {
        var spec = world.store.spec("hibiscusreach-fleet", "group." + database.name);
        Database.Server primary = database.primary();
        return spec != null && primary != null && primary.id.equals(spec.get("primary")) && spec.get("changedBy") == null
            && !primary.draining;
    }

    /** Whether the proxy [node] holds the lock for promotions by the store's record. */
    static boolean holds(World world, String node) {
        var spec = world.store.spec("hibiscusreach-fleet", "promoter");
        return spec != null && spec.get("holder") instanceof java.util.Map<?, ?> holder && node.equals(holder.get("node"));
    }

    /** Whether the platform got a promotion with a lower token than one that it had got from another holder. */
    static boolean lowerTokenArrived(World world) {
        PlatformApi.Request highest = null;
        boolean broken = false;
        for (PlatformApi.Request request : world.platform.requests) {
            if (highest != null && request.token() <= highest.token() && !request.holder().equals(highest.holder())) {
                world.record.line(
                    "ONE: token %d of %s arrives after %d of %s", request.token(), request.holder(), highest.token(), highest.holder());
                broken = true;
            }
            if (highest == null || request.token() > highest.token()) highest = request;
        }
        return broken;
    }
}
