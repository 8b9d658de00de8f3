package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.Ejection
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Decides which servers are ejected, and for how long. */
internal object EjectionRule {
    /** A server is an outlier if its share of failures is at least this many times that of the others. */
    private const val OUTLIER_FACTOR = 2

    /** Bounds the number of steps in which the pause is computed; it has reached its maximum long before. */
    private const val MAX_DOUBLINGS = 16

    /** Whether the server fails much more than the others of its group, at most half of which are ejected. */
    fun applies(reduction: Reduction, server: RegisteredServer): Boolean {
        val servers = reduction.servers(server.group)
        val ejected = servers.count { OutlierEjection.isEjected(reduction, it.name) }
        return (ejected + 1) * 2 <= servers.size && isOutlier(reduction, server, servers)
    }

    /** The ejection that begins now. */
    fun next(reduction: Reduction, server: ServerName): Ejection {
        val limits = reduction.settings.selection
        val previous = ServerLoads.of(reduction, server).ejection
        val count = if (previous != null && isRecent(reduction, previous.returnedAt)) previous.count + 1 else 1
        return Ejection(count, until = reduction.now + pause(limits.ejectionPause, count, limits.maxEjectionPause))
    }

    /**
     * Whether the answer to a statement decides about the return of an ejected server: reads that may be repeated, and
     * those of read-only transactions, since callers may send no others.
     */
    fun isProbe(session: Session, pending: PendingStatement): Boolean =
        StatementFailures.isIdempotent(session, pending) ||
            pending.access == Access.READ && session.running?.begun?.readOnly == true

    // A statement that fails everywhere says nothing about a server.
    private fun isOutlier(reduction: Reduction, server: RegisteredServer, servers: List<RegisteredServer>): Boolean {
        val limits = reduction.settings.selection
        val others = servers.filter { it.name != server.name }.map { ServerLoads.of(reduction, it.name).failureShare }
        val othersShare = if (others.isEmpty()) 0.0 else others.average()
        val load = ServerLoads.of(reduction, server.name)
        return load.failures.at(reduction.now, limits.failureHalfLife) >= limits.ejectionFailures &&
            load.failureShare * FULL_PERCENT >= limits.ejectionPercent &&
            load.failureShare >= othersShare * OUTLIER_FACTOR
    }

    // A server that is still ejected has failed a probe.
    private fun isRecent(reduction: Reduction, returnedAt: MonotonicTime?): Boolean =
        returnedAt == null || reduction.now - returnedAt < reduction.settings.selection.ejectionMemory

    private fun pause(first: Millis, count: Int, longest: Millis): Millis =
        generateSequence(first) { minOf(it * 2, longest) }.elementAt(minOf(count, MAX_DOUBLINGS) - 1)
}
