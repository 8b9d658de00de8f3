package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.Consistency
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement

/**
 * The time that a statement usually takes at the servers of [group] that answer, with the exchange before it that opens
 * its transaction or sets its session up. A statement whose timeout passes at the server has an unknown outcome, which
 * is worse than a refusal.
 */
internal class UsualDurations(private val reduction: Reduction, group: GroupName) {
    private val atPrimary: Millis
    private val ofReads: Millis

    init {
        val answering = reduction.servers(group).filterNot { ServerHealthTracking.isSilent(reduction, it.name) }
        val expected = reduction.settings.connections.expectedLatency
        // Reads go to the fastest servers. The latency of a slow one, which gets no statements, may be an old one.
        ofReads = answering.mapNotNull { latency(it.name) }.minOrNull() ?: expected
        atPrimary = reduction.group(group).record?.primary?.let(::latency) ?: ofReads
    }

    /** The usual time of [pending], by whether the primary has to run it. */
    fun of(pending: PendingStatement): Millis {
        val needsPrimary = pending.access == Access.WRITE || pending.route.consistency is Consistency.Primary
        return (if (needsPrimary) atPrimary else ofReads) * EXCHANGES
    }

    private fun latency(server: ServerName): Millis? = reduction.health(server).latency

    private companion object {
        /** Exchanges with the server for the first statement on a connection. */
        const val EXCHANGES = 2
    }
}
