package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.Consistency
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** A server that can take a statement, and the position that it must have applied. */
internal data class ServerCandidate(val server: RegisteredServer, val minimumPosition: Position?)

/** Chooses servers for statements. */
internal object ServerSelection {
    /** The servers that can take the pending statement, the best one first. */
    fun candidates(turn: Reduction, session: Session, pending: PendingStatement): List<ServerCandidate> {
        val group = turn.group(pending.route.group)
        val primary = primary(turn, group, session, pending)
        if (needsPrimary(session, pending)) return listOfNotNull(primary)
        val position = PrimaryStatus.minimumPosition(turn, session, pending)
        val replicas = if (position == null) emptyList() else replicas(turn, group, pending, position)
        return (replicas + listOfNotNull(primary))
            .distinctBy { it.server.name }
            .sortedBy { cost(turn, it.server).value }
    }

    /** Whether only the primary can take the statement. */
    fun needsPrimary(session: Session, pending: PendingStatement): Boolean =
        when (val transaction = session.transaction) {
            is Transaction.Begun -> !transaction.readOnly || pending.route.consistency is Consistency.Primary
            else -> pending.access == Access.WRITE || pending.route.consistency is Consistency.Primary
        }

    /** Expected duration of a statement at [server], with a penalty for the distance. */
    fun cost(turn: Reduction, server: RegisteredServer): Millis {
        val limits = turn.settings.connections
        val place = turn.state.self
        val distance =
            when {
                server.failureDomain == place.failureDomain -> Millis(0)
                place.regions[server.failureDomain] == place.regions[place.failureDomain] -> limits.domainPenalty
                else -> limits.regionPenalty
            }
        val latency = turn.health(server.name).latency ?: limits.expectedLatency
        val busy = ConnectionPools.connections(turn, server.name).count { it.heldBy != null }
        return distance + Millis(latency.value * (busy + 1))
    }

    // An excluded primary stays a candidate for what no other server can take.
    private fun primary(
        turn: Reduction,
        group: GroupView,
        session: Session,
        pending: PendingStatement,
    ): ServerCandidate? {
        val margin = if (pending.access == Access.WRITE) turn.settings.leases.writeMargin else Millis(0)
        val name = PrimaryStatus.usable(turn, group, margin) ?: return null
        val only = needsPrimary(session, pending)
        return turn.state
            .server(name)
            ?.takeIf { only || isReachable(turn, name) && name !in pending.excluded }
            ?.let { ServerCandidate(it, minimumPosition = null) }
    }

    private fun replicas(
        turn: Reduction,
        group: GroupView,
        pending: PendingStatement,
        position: Position,
    ): List<ServerCandidate> =
        SuccessorChoice
            .replicas(turn, group)
            .filter { !it.leaving && it.name !in pending.excluded }
            .filter { isReachable(turn, it.name) && !isBehind(turn, it.name) }
            .map { ServerCandidate(it, position) }

    private fun isBehind(turn: Reduction, name: ServerName) =
        turn.health(name).behindUntil?.let { turn.now < it } ?: false

    private fun isReachable(turn: Reduction, name: ServerName): Boolean {
        val connects =
            !ServerHealthTracking.isPaused(turn, name) || ConnectionPools.connections(turn, name).any { it.open }
        return connects && !ServerHealthTracking.isSilent(turn, name)
    }
}
