package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.state.KnownServer
import kotlinx.collections.immutable.toPersistentMap

/** Keeps the registered servers and the operators' configuration. */
internal object ServerRegistry {
    /** Takes a newer configuration; an older one is ignored. */
    fun configure(turn: Reduction, configuration: RoutingConfiguration) {
        val before = turn.state.configuration?.version
        if (before == null || configuration.version > before) {
            turn.state = turn.state.copy(configuration = configuration)
            turn.log(
                "configuration in force",
                "version" to configuration.version,
                "before" to before,
                "routes" to configuration.routes.size,
            )
            SessionLifecycle.configured(turn)
        } else if (configuration.version < before) {
            turn.log("older configuration ignored", "version" to configuration.version, "inForce" to before)
        }
    }

    fun read(turn: Reduction, event: SessionEvent.ServersRead) {
        val before = turn.state.servers
        val present = event.servers.mapValues { (_, server) -> KnownServer(server) }
        val missing =
            before
                .filterKeys { it !in event.servers }
                .mapValues { (_, known) -> known.copy(missingSince = known.missingSince ?: turn.now) }
        turn.state = turn.state.copy(servers = (missing + present).toPersistentMap(), serversKnown = true)
        event.servers.values.forEach {
            noteChange(turn, before[it.name]?.server, it)
            DepartedReplicas.present(turn, it)
        }
        missing.values
            .filter { it.missingSince == turn.now }
            .forEach { noteMissing(turn, it.server) }
    }

    /** Removes servers whose entry has been missing for too long. */
    fun review(turn: Reduction) {
        val limit = turn.settings.connections.missingEntryTimeout
        turn.state.servers.values
            .filter { known -> known.missingSince?.let { turn.now - it > limit } ?: false }
            .forEach { forget(turn, it.server.name) }
    }

    /** Removes a server and its unused connections. */
    fun forget(turn: Reduction, name: ServerName) {
        val known = turn.state.servers[name] ?: return
        turn.log("server removed", "server" to name, "group" to known.server.group)
        turn.state = turn.state.copy(servers = turn.state.servers.remove(name))
        closeIdle(turn, name)
    }

    private fun noteMissing(turn: Reduction, server: RegisteredServer) {
        turn.log("server entry missing", "server" to server.name, "group" to server.group)
        DepartedReplicas.missing(turn, server)
    }

    private fun noteChange(turn: Reduction, before: RegisteredServer?, after: RegisteredServer) {
        if (before == after) return
        turn.log(
            "server entry",
            "server" to after.name,
            "group" to after.group,
            "endpoint" to after.endpoint,
            "role" to after.role.name,
            "leaving" to after.leaving,
        )
        val restarted = before != null &&
            (before.startedAtMillis != after.startedAtMillis || before.endpoint != after.endpoint)
        if (restarted) {
            closeIdle(turn, after.name)
            turn.updateHealth(after.name) { it.copy(connectAfter = null, connectPause = null, silentSince = null) }
        }
    }

    private fun closeIdle(turn: Reduction, name: ServerName) =
        ConnectionPools
            .connections(turn, name)
            .filter { it.heldBy == null }
            .forEach { ConnectionPools.close(turn, it) }
}

/** The registered servers of [group]. */
internal fun Reduction.servers(group: GroupName): List<RegisteredServer> =
    state.servers.values
        .map { it.server }
        .filter { it.group == group }
