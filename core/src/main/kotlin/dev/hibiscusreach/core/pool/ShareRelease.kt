package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Gives the share of a database up to another home. */
internal object ShareRelease {
    /** Tells the successor of a released share that one more connection is closed. */
    fun connectionReleased(state: ProxyState, server: ServerName): Step {
        val database = state.configuration.index.groupOf(server)?.name
        val role = database?.let { state.pools.roles[it] } as? ShareRole.Releasing ?: return Step(state)
        val isLast = poolsOf(state, database).all { it.connections.isEmpty() }
        val notice = listOfNotNull(role.successor?.let { releaseNotice(it, server, count = 1, last = isLast) })
        return if (isLast) ShareAllowances.forget(state, database).copy(effects = notice) else Step(state, notice)
    }

    fun release(state: ProxyState, group: DatabaseGroup, successor: NodeIdentity?): Step {
        val alreadyReleasing = state.pools.roles[group.name] == ShareRole.Releasing(successor)
        if (alreadyReleasing) return Step(state)
        val closing = ShareAllowances.withRole(
            state,
            group.name,
            ShareRole.Releasing(successor)
        ).then { closeIdle(it, group) }
        val remaining = poolsOf(closing.state, group.name)
        val isLast = remaining.all { it.connections.isEmpty() }
        val notices =
            successor?.let { to ->
                group.servers.mapIndexed { position, server ->
                    val closed = idleCount(state, server) - idleCount(closing.state, server)
                    releaseNotice(to, server.name, closed, last = isLast && position == group.servers.lastIndex)
                }
            }
        return closing
            .then { Step(it, notices.orEmpty()) }
            .then { if (isLast) ShareAllowances.forget(it, group.name) else Step(it) }
    }

    private fun closeIdle(state: ProxyState, group: DatabaseGroup): Step =
        group.servers
            .mapNotNull { state.pools.pools[it.name] }
            .flatMap { it.idle }
            .fold(Step(state)) { step, number -> step.then { ConnectionRemoval.drop(it, number) } }

    fun releaseRemovedGroups(state: ProxyState): Step {
        val removed = state.pools.roles.keys.filter { state.configuration.index.group(it) == null }
        return removed.fold(Step(state)) { step, database ->
            val numbers = poolsOf(state, database).flatMap { it.idle }
            numbers
                .fold(step) { dropped, number -> dropped.then { ConnectionRemoval.drop(it, number) } }
                .then { ShareAllowances.forget(it, database) }
        }
    }

    private fun idleCount(state: ProxyState, server: BackendServer): Int =
        state.pools.pools[server.name]?.idle?.size ?: 0

    private fun releaseNotice(to: NodeIdentity, server: ServerName, count: Int, last: Boolean): Effect =
        Effect.SendPeerMessage(to, PeerMessage.SharesReleased(server, count, last))

    private fun poolsOf(state: ProxyState, database: DatabaseName): List<ServerPool> =
        state.pools.pools.values.filter { it.database == database }
}
