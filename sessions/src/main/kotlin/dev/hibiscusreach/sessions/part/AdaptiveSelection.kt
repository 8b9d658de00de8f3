package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.state.EjectionStatus
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import kotlin.math.ln

/** Orders servers by their observed load, so that proxies which decide at the same time do not choose the same one. */
internal object AdaptiveSelection {
    private class Rated(val candidate: ServerCandidate, val penalty: Double, val cost: Double)

    /**
     * The [candidates] in order of preference. Ejected servers are left out unless there are no others; one that is due
     * for a probe comes first for a read that may be repeated.
     */
    fun order(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        candidates: List<ServerCandidate>,
        connectPenalty: (ServerCandidate) -> Millis,
    ): List<ServerCandidate> {
        val statuses = candidates.associateWith { OutlierEjection.status(reduction, it.server.name) }
        val included = candidates.filter { statuses[it] is EjectionStatus.Included }
        val mayProbe = StatementFailures.isIdempotent(session, pending)
        val probed = candidates.find { mayProbe && (statuses[it] as? EjectionStatus.Probed)?.due == true }
        val ordered =
            orderByCost(reduction, session, pending, included.ifEmpty { candidates }, connectPenalty)
                .partition { isTaking(reduction, session, pending, it.server.name) }
                .let { (taking, starting) -> taking + starting }
        return (listOfNotNull(probed) + ordered).distinct()
    }

    // In its slow start, a server comes last for all but the share of the statements that it already takes.
    private fun isTaking(reduction: Reduction, session: Session, pending: PendingStatement, server: ServerName) =
        SelectionHash.share(reduction, session, pending, server, SLOW_START) <= SlowStart.share(reduction, server)

    /**
     * The [candidates] in order of ascending cost, except that those with a cost similar to the lowest one are in
     * random order, weighted by their free capacity. [connectPenalty] is the extra cost of opening a connection.
     */
    private fun orderByCost(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        candidates: List<ServerCandidate>,
        connectPenalty: (ServerCandidate) -> Millis,
    ): List<ServerCandidate> {
        val rated =
            candidates
                .map { candidate ->
                    val penalty = connectPenalty(candidate).value.toDouble()
                    Rated(candidate, penalty, penalty + ServerCost.of(reduction, candidate.server))
                }.sortedBy { it.cost }
        val best = rated.firstOrNull() ?: return emptyList()
        val highest = best.cost + reduction.settings.selection.similarCost.value
        val (similar, others) = rated.partition { it.cost <= highest && it.penalty <= best.penalty }
        val capacities = FreeCapacity(reduction, pending.route.group)
        val shared =
            similar.sortedByDescending {
                val server = it.candidate.server
                ln(SelectionHash.share(reduction, session, pending, server.name, COST)) / capacities.of(server)
            }
        return (shared + others).map { it.candidate }
    }

    /** Numbers of the decisions, so that they do not depend on each other. */
    private const val COST = 0L
    private const val SLOW_START = 1L
}

/** Numbers that differ between proxies, sessions and statements, and stay the same for one attempt of a statement. */
internal object SelectionHash {
    // Constants of the SplitMix64 generator.
    private const val INCREMENT = -7046029254386353131L
    private const val FIRST_FACTOR = -4658895280553007687L
    private const val SECOND_FACTOR = -7723592293110705685L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val LAST_SHIFT = 31
    private const val FRACTION_BITS = 53

    /** A number above 0 and below 1 for one [decision] about [server] for the pending statement. */
    fun share(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        server: ServerName,
        decision: Long,
    ): Double {
        val own = reduction.state.self.identity.node.hashCode() + decision
        val ofStatement = listOf(session.number.value, pending.arrivedAt.millis, pending.attempts.toLong())
        val seed = (ofStatement + own + server.value.hashCode().toLong()).fold(0L) { hash, next -> mix(hash xor next) }
        return ((seed ushr (Long.SIZE_BITS - FRACTION_BITS)) + 1.0) / ((1L shl FRACTION_BITS) + 1.0)
    }

    private fun mix(value: Long): Long {
        val first = value + INCREMENT
        val second = (first xor (first ushr FIRST_SHIFT)) * FIRST_FACTOR
        val third = (second xor (second ushr SECOND_SHIFT)) * SECOND_FACTOR
        return third xor (third ushr LAST_SHIFT)
    }
}
