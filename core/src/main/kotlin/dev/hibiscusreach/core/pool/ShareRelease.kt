package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.core.reducer.Step

/** Releases the connection share of a database to another home. */
internal object ShareRelease {
    /** Handles a request of a new home: releases the share to it, and reports the connections still held. */
    fun onSharesRequested(state: ProxyState, from: NodeIdentity, database: DatabaseName): Step =
        when (state.pools.roles[database]) {
            null -> Step(state, remainingNotice(state, database, from))
            is ShareRole.Releasing ->
                ShareAllowances
                    .withRole(state, database, ShareRole.Releasing(from))
                    .then { Step(it, remainingNotice(it, database, from)) }
            is ShareRole.Held, is ShareRole.Acquiring ->
                if (mustRelease(state, database, from)) release(state, database, from) else Step(state)
        }

    /** Closes the idle connections to [database]'s servers; those in use are closed when they are returned. */
    fun release(state: ProxyState, database: DatabaseName, successor: NodeIdentity?): Step {
        if (state.pools.roles[database] == ShareRole.Releasing(successor)) return Step(state)
        return ShareAllowances
            .withRole(state, database, ShareRole.Releasing(successor))
            .then { closeIdle(it, database) }
            .then { Step(it, remainingNotice(it, database, successor)) }
            .then { finishIfClosed(it, database) }
    }

    /** Reports to the successor of a released share that a connection to [server] is closed. */
    fun connectionReleased(state: ProxyState, server: ServerName): Step {
        val database = state.configuration.index.groupOf(server)?.name
        val role = database?.let { state.pools.roles[it] } as? ShareRole.Releasing
        return if (database == null || role == null) {
            Step(state)
        } else {
            Step(state, remainingNotice(state, database, role.successor)).then { finishIfClosed(it, database) }
        }
    }

    /** Releases the shares of groups that are no longer in the inventory. */
    fun releaseRemovedGroups(state: ProxyState): Step {
        val removed = state.pools.roles.keys.filter { state.configuration.index.group(it) == null }
        return removed.fold(Step(state)) { step, database ->
            step.then { closeIdle(it, database) }.then { ShareAllowances.removeRole(it, database) }
        }
    }

    // Two processes can both consider themselves the home until membership changes have reached each of them.
    private fun mustRelease(state: ProxyState, database: DatabaseName, to: NodeIdentity): Boolean {
        val self = state.settings.self
        val isDraining = self !in state.membership.nodesAcceptingWork(state.settings.failureDomain)
        return isDraining || RendezvousHash.first(database.value, listOf(self, to)) { it.peerEndpoint } == to
    }

    private fun closeIdle(state: ProxyState, database: DatabaseName): Step =
        poolsOf(state, database)
            .flatMap { it.idle }
            .fold(Step(state)) { step, number -> step.then { ConnectionRemoval.close(it, number) } }

    // Attempts that wait for a server without connections are denied as draining, so that they go to the new home.
    private fun finishIfClosed(state: ProxyState, database: DatabaseName): Step {
        val withoutConnections = poolsOf(state, database).filter { it.connections.isEmpty() }
        val denied =
            withoutConnections.fold(Step(state)) { step, pool ->
                step.then { ConnectionQueue.denyAll(it, pool.server, ErrorKind.DRAINING) }
            }
        return denied.then {
            if (poolsOf(it, database).isEmpty()) ShareAllowances.removeRole(it, database) else Step(it)
        }
    }

    private fun remainingNotice(state: ProxyState, database: DatabaseName, successor: NodeIdentity?): List<Effect> {
        val held = poolsOf(state, database).associate { it.server to it.connections.size }.filterValues { it > 0 }
        return listOfNotNull(successor?.let { Effect.SendPeerMessage(it, PeerMessage.SharesRemaining(database, held)) })
    }

    private fun poolsOf(state: ProxyState, database: DatabaseName): List<ServerPool> =
        state.pools.pools.values.filter { it.database == database }
}
