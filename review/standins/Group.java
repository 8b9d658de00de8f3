import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A database group: a primary and replicas, with the effects of promotions and the promises that are checked. */
final class Group {
    /** A commit in the log of a server. */
    record Entry(long term, long number, String query, String item, String data) {
        String position() {
            return term + "." + number;
        }
    }

    final String name;
    final List<DatabaseServer> servers = new ArrayList<>();
    private final Store store;
    private final RunRecord record;
    private long promotedAt;

    Group(String name, Store store, RunRecord record, int size) throws IOException {
        this.name = name;
        this.store = store;
        this.record = record;
        for (int number = 1; number <= size; number++) servers.add(new DatabaseServer(this, "i-" + number, record));
        servers.get(0).primary = true;
        servers.forEach(server -> server.term = 1);
        servers.forEach(this::register);
        Threads.start("replication", this::replicate);
        Threads.start("heartbeat", this::beat);
    }

    /**
     * Replaces the primary as the operator does: a new server with the log of the old one starts first, then the old
     * one reports that it is leaving, serves on for [drainMillis] and ends.
     */
    void replacePrimary(long drainMillis) throws IOException {
        DatabaseServer old = leader();
        DatabaseServer added = new DatabaseServer(this, "i-" + (servers.size() + 1), record);
        synchronized (this) {
            added.term = old.term;
            added.log.addAll(old.log);
            servers.add(added);
        }
        register(added);
        old.leaving = true;
        register(old);
        record.line("primary is leaving", "server", old.id);
        Threads.start("leaving", () -> {
            Threads.sleep(drainMillis);
            synchronized (this) {
                servers.remove(old);
            }
            store.remove("servers", old.id);
            old.stop();
            record.line("server has left", "server", old.id);
        });
    }

    /** The server that leads in the highest term. */
    synchronized DatabaseServer leader() {
        return servers.stream().filter(server -> server.primary)
                .max((first, second) -> Long.compare(first.term, second.term)).orElseThrow();
    }

    /** Writes what [server] says of itself to the store. */
    void register(DatabaseServer server) {
        store.put("servers", server.id, "{\"service\":\"" + name + "\",\"address\":\"" + server.address()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":" + Timing.SLOTS
                + ",\"phase\":\"" + (server.leaving ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"db_role\":\"" + (server.primary ? "primary" : "replica")
                + "\",\"sequence\":" + server.sequence.incrementAndGet() + ",\"born\":" + server.born + "}");
    }

    /** Lets the server [id] lead the next term with what it has received. */
    synchronized void promote(String id) {
        DatabaseServer next = servers.stream().filter(server -> server.id.equals(id)).findFirst().orElseThrow();
        DatabaseServer old = leader();
        if (next == old) return;
        next.applyReceived();
        next.term = old.term + 1;
        next.primary = true;
        promotedAt = System.nanoTime();
        record.line("promotion took effect", "server", id, "term", next.term, "received", next.position());
        servers.stream().filter(server -> server != next && server != old).forEach(server -> server.follow(next));
        Threads.start("old primary", () -> {
            Threads.sleep(Timing.OLD_PRIMARY_MS);
            synchronized (this) {
                if (old.primary && old.term < next.term) stepDown(old, next.term);
            }
        });
        Threads.start("register", this::registerAll);
    }

    /** Makes [server] a replica if it leads a term below [term]. */
    synchronized void stepDown(DatabaseServer server, long term) {
        if (!server.primary || server.term >= term) return;
        DatabaseServer next = leader();
        if (next == server) return;
        int kept = server.log.size();
        server.follow(next);
        record.line("old primary became a replica", "server", server.id, "commits", kept, "term", next.term);
        Threads.start("register", () -> register(server));
    }

    /** Whether a promotion took effect and [server] is not the server that leads the latest term. */
    synchronized boolean isReplaced(DatabaseServer server) {
        return promotedAt != 0 && leader() != server;
    }

    private void replicate() {
        while (true) {
            Threads.sleep(5);
            synchronized (this) {
                DatabaseServer leader = leader();
                if (leader.dark) continue;
                for (DatabaseServer server : servers) {
                    if (server != leader && !server.primary && server.term <= leader.term) server.receive(leader);
                }
            }
        }
    }

    private void beat() {
        while (true) {
            Threads.sleep(Timing.HEARTBEAT_MS);
            registerAll();
        }
    }

    private void registerAll() {
        List<DatabaseServer> present;
        synchronized (this) {
            present = servers.stream().filter(server -> !server.dark).toList();
        }
        present.forEach(this::register);
    }
}
