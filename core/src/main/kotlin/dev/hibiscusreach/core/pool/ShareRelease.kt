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

/** Gives the share of a database up to another home. */
internal object ShareRelease {
    /** Answers a new home that asks what this process holds, and releases it. */
    fun requested(state: ProxyState, from: NodeIdentity, database: DatabaseName): Step =
        when (state.pools.roles[database]) {
            null -> Step(state, notice(state, database, from))
            is ShareRole.Releasing ->
                ShareAllowances
                    .withRole(state, database, ShareRole.Releasing(from))
                    .then { Step(it, notice(it, database, from)) }
            is ShareRole.Held, is ShareRole.Acquiring ->
                if (mustYield(state, database, from)) release(state, database, from) else Step(state)
        }

    /** Closes the idle connections to [database]'s servers; those in use are closed as they come back. */
    fun release(state: ProxyState, database: DatabaseName, successor: NodeIdentity?): Step {
        if (state.pools.roles[database] == ShareRole.Releasing(successor)) return Step(state)
        return ShareAllowances
            .withRole(state, database, ShareRole.Releasing(successor))
            .then { closeIdle(it, database) }
            .then { Step(it, notice(it, database, successor)) }
            .then { finish(it, database) }
    }

    /** Tells the successor of a released share that a connection to [server] is closed. */
    fun connectionReleased(state: ProxyState, server: ServerName): Step {
        val database = state.configuration.index.groupOf(server)?.name
        val role = database?.let { state.pools.roles[it] } as? ShareRole.Releasing
        return if (database == null || role == null) {
            Step(state)
        } else {
            Step(state, notice(state, database, role.successor)).then { finish(it, database) }
        }
    }

    /** Gives up the shares of groups that are not in the inventory any more. */
    fun releaseRemovedGroups(state: ProxyState): Step {
        val removed = state.pools.roles.keys.filter { state.configuration.index.group(it) == null }
        return removed.fold(Step(state)) { step, database ->
            step.then { closeIdle(it, database) }.then { ShareAllowances.forget(it, database) }
        }
    }

    // Both can take themselves for the home while the news of one has not reached the other.
    private fun mustYield(state: ProxyState, database: DatabaseName, to: NodeIdentity): Boolean {
        val self = state.settings.self
        val isDraining = self !in state.membership.nodesAcceptingWork(state.settings.failureDomain)
        return isDraining || RendezvousHash.first(database.value, listOf(self, to)) { it.peerEndpoint } == to
    }

    private fun closeIdle(state: ProxyState, database: DatabaseName): Step =
        poolsOf(state, database)
            .flatMap { it.idle }
            .fold(Step(state)) { step, number -> step.then { ConnectionRemoval.drop(it, number) } }

    // Attempts that wait where no connection is left to come back are told to go to the new home.
    private fun finish(state: ProxyState, database: DatabaseName): Step {
        val abandoned = poolsOf(state, database).filter { it.connections.isEmpty() }
        val denied =
            abandoned.fold(Step(state)) { step, pool ->
                step.then { ConnectionQueue.denyAll(it, pool.server, ErrorKind.DRAINING) }
            }
        return denied.then { if (poolsOf(it, database).isEmpty()) ShareAllowances.forget(it, database) else Step(it) }
    }

    private fun notice(state: ProxyState, database: DatabaseName, successor: NodeIdentity?): List<Effect> {
        val held = poolsOf(state, database).associate { it.server to it.connections.size }.filterValues { it > 0 }
        return listOfNotNull(successor?.let { Effect.SendPeerMessage(it, PeerMessage.SharesRemaining(database, held)) })
    }

    private fun poolsOf(state: ProxyState, database: DatabaseName): List<ServerPool> =
        state.pools.pools.values.filter { it.database == database }
}
