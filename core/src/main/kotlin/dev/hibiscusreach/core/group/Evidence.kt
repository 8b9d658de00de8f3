package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap

private fun GroupState.isFromPrimary(status: ServerStatus): Boolean =
    status.server == primary && status.term == term && status.role == ServerRole.PRIMARY

/** Learns where the term began, as long as the primary has written nothing in it. */
internal fun GroupState.withTermStart(status: ServerStatus): GroupState =
    if (termStart == null && isFromPrimary(status) && status.applied.term < term) {
        copy(termStart = status.applied)
    } else {
        this
    }

/** Takes an answer of the primary as a sample of its head. */
internal fun GroupState.withSample(status: ServerStatus, sentAt: MonotonicTime): GroupState =
    if (isFromPrimary(status)) {
        copy(samples = samples.including(HeadSample(sentAt, status.applied, term)))
    } else {
        this
    }

/** Verifies the samples that a majority has answered for. */
internal fun GroupState.withVerifiedSamples(): GroupState =
    leadershipVerifiedAt()?.let { copy(samples = samples.verifiedUntil(term, it)) } ?: this

/** Remembers what a majority holds, also for the time after the next promotion. */
internal fun GroupState.withSettled(): GroupState {
    val durable = durable()
    val advanced = durable != Position.ORIGIN && !isSettled(durable)
    // An entry of the current term has the primary's whole log before it.
    val start = termStart?.takeIf { advanced && durable.term == term && !isSettled(it) }
    val settledStart = start?.let { settled.put(it.term, it.index) } ?: settled
    return if (advanced) copy(settled = settledStart.put(durable.term, durable.index).bounded()) else this
}

private fun PersistentMap<Term, Long>.bounded(): PersistentMap<Term, Long> =
    if (size <= MAXIMUM_SETTLED_TERMS) {
        this
    } else {
        keys.sorted().dropLast(MAXIMUM_SETTLED_TERMS).fold(this) { settled, term -> settled.remove(term) }
    }

/** Reads of data from before that many failovers cannot be proved to be in the history; they are refused. */
private const val MAXIMUM_SETTLED_TERMS = 8
