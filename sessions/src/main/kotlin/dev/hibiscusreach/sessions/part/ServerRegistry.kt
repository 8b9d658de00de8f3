package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.state.KnownServer
import kotlinx.collections.immutable.toPersistentMap

/** Maintains the registered servers and the operators' configuration. */
internal object ServerRegistry {
    /** Applies a newer configuration; an older one is ignored and logged. */
    fun applyConfiguration(reduction: Reduction, configuration: RoutingConfiguration) {
        val before = reduction.state.configuration?.version
        if (before == null || configuration.version > before) {
            reduction.state =
                reduction.state.copy(configuration = configuration, configurationInForceSince = reduction.now)
            reduction.log(
                "configuration in force",
                "version" to configuration.version,
                "before" to before,
                "routes" to configuration.routes.size,
                "sinceConfirmedMillis" to ConfigurationFreshness.age(reduction)?.value,
                "source" to (reduction.state.fleet.source.peer ?: "store"),
            )
            TenantPools.closeObsolete(reduction)
            RetryBudget.removeObsolete(reduction)
            SessionLifecycle.onConfigured(reduction)
        } else if (configuration.version < before) {
            reduction.log("older configuration ignored", "version" to configuration.version, "inForce" to before)
        }
    }

    /** Applies the server entries read from the store; a server without an entry stays until a timeout. */
    fun read(reduction: Reduction, event: SessionEvent.ServersRead) {
        val before = reduction.state.servers
        val isFirstRead = !reduction.state.serversKnown
        val servers = event.servers.mapValues { (name, server) -> keepLeaving(before[name]?.server, server) }
        val present =
            servers.mapValues { (name, server) ->
                val leavingSince = before[name]?.leavingSince ?: reduction.now
                KnownServer(server, leavingSince = leavingSince.takeIf { server.leaving })
            }
        val missing =
            before
                .filterKeys { it !in servers }
                .mapValues { (_, known) -> known.copy(missingSince = known.missingSince ?: reduction.now) }
        reduction.state = reduction.state.copy(servers = (missing + present).toPersistentMap(), serversKnown = true)
        servers.values.forEach {
            handleEntry(reduction, before[it.name]?.server, it)
            if (!isFirstRead && it.name !in before) SlowStart.begin(reduction, it.name)
            DepartedReplicas.markPresent(reduction, it)
            PossibleLeaders.markPresent(reduction, it)
        }
        missing.values
            .filter { it.missingSince == reduction.now }
            .forEach { handleMissingEntry(reduction, it.server) }
    }

    /** Removes servers whose entry has been missing for longer than the timeout. */
    fun review(reduction: Reduction) {
        val timeout = reduction.settings.connections.missingEntryTimeout
        reduction.state.servers.values
            .filter { known -> known.missingSince?.let { reduction.now - it > timeout } ?: false }
            .forEach { remove(reduction, it.server.name) }
    }

    /** Removes a server and closes its connections that no session holds. */
    fun remove(reduction: Reduction, name: ServerName) {
        val known = reduction.state.servers[name] ?: return
        reduction.log("server removed", "server" to name, "group" to known.server.group)
        reduction.state = reduction.state.copy(servers = reduction.state.servers.remove(name))
        ServerLoads.remove(reduction, name)
        PossibleLeaders.markAbsent(reduction, known.server)
        closeUnheldConnections(reduction, name)
    }

    // A server that is leaving ends. An entry of the same start that reports it as ready is from before a restoration.
    private fun keepLeaving(before: RegisteredServer?, after: RegisteredServer): RegisteredServer {
        val isSameStart = before?.startedAtMillis == after.startedAtMillis && before.endpoint == after.endpoint
        return if (isSameStart && before.leaving) after.copy(leaving = true) else after
    }

    private fun handleMissingEntry(reduction: Reduction, server: RegisteredServer) {
        reduction.log("server entry missing", "server" to server.name, "group" to server.group)
        DepartedReplicas.markDeparted(reduction, server)
    }

    private fun handleEntry(reduction: Reduction, before: RegisteredServer?, after: RegisteredServer) {
        if (before == after) return
        reduction.log(
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
            closeUnheldConnections(reduction, after.name)
            if (before.startedAtMillis != after.startedAtMillis) DepartedReplicas.markRestarted(reduction, before)
            OutlierEjection.restarted(reduction, after.name)
            SlowStart.begin(reduction, after.name)
            reduction.updateHealth(after.name) { it.copy(connectAfter = null, connectPause = null, silentSince = null) }
        }
    }

    private fun closeUnheldConnections(reduction: Reduction, name: ServerName) =
        ConnectionPools
            .connections(reduction, name)
            .filter { it.heldBy == null }
            .forEach { ConnectionPools.close(reduction, it) }
}

/** The registered servers of [group]. */
internal fun Reduction.servers(group: GroupName): List<RegisteredServer> =
    state.servers.values
        .map { it.server }
        .filter { it.group == group }
