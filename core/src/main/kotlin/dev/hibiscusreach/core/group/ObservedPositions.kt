package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap

private fun GroupState.isFromPrimary(status: ServerStatus): Boolean =
    status.server == primary && status.term == term && status.role == ServerRole.PRIMARY

/** Sets the start of the term from an answer of the primary, as long as the primary has written nothing in it. */
internal fun GroupState.withTermStart(status: ServerStatus): GroupState =
    if (termStart == null && isFromPrimary(status) && status.applied.term < term) {
        copy(termStart = status.applied)
    } else {
        this
    }

/** Adds the position in an answer of the primary as a sample of its head. */
internal fun GroupState.withHeadSample(status: ServerStatus, sentAt: MonotonicTime): GroupState =
    if (isFromPrimary(status)) {
        copy(samples = samples.adding(HeadSample(sentAt, status.applied, term)))
    } else {
        this
    }

/** Marks the samples as verified that were sent before a majority last answered in the current term. */
internal fun GroupState.withVerifiedSamples(): GroupState =
    leadershipVerifiedAt()?.let { copy(samples = samples.verifiedUntil(term, it)) } ?: this

/** Records the highest position that a majority holds. The record stays valid after later promotions. */
internal fun GroupState.withDurableIndexes(): GroupState {
    val durable = durable()
    val advanced = durable != Position.ORIGIN && !isDurable(durable)
    // A server that holds an entry of the current term also holds the primary's whole log before it.
    val start = termStart?.takeIf { advanced && durable.term == term && !isDurable(it) }
    val withStart = start?.let { durableIndexes.put(it.term, it.index) } ?: durableIndexes
    return if (advanced) copy(durableIndexes = withStart.put(durable.term, durable.index).bounded()) else this
}

private fun PersistentMap<Term, Long>.bounded(): PersistentMap<Term, Long> =
    if (size <= MAXIMUM_DURABLE_TERMS) {
        this
    } else {
        keys.sorted().dropLast(MAXIMUM_DURABLE_TERMS).fold(this) { indexes, term -> indexes.remove(term) }
    }

/** Positions from before that many failovers cannot be proved durable any more; reads that need them are refused. */
private const val MAXIMUM_DURABLE_TERMS = 8
