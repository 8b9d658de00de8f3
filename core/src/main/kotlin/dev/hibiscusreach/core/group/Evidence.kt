package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap

private fun GroupState.isFromPrimary(status: ServerStatus): Boolean =
    status.server == primary && status.term == term && status.role == ServerRole.PRIMARY

internal fun GroupState.withTermStart(status: ServerStatus): GroupState =
    if (termStart == null && isFromPrimary(status) && status.applied.term < term) {
        copy(termStart = status.applied)
    } else {
        this
    }

internal fun GroupState.withSample(status: ServerStatus, sentAt: MonotonicTime): GroupState =
    if (isFromPrimary(status)) {
        copy(samples = samples.including(HeadSample(sentAt, status.applied, term)))
    } else {
        this
    }

internal fun GroupState.withVerifiedSamples(): GroupState =
    leadershipVerifiedAt()?.let { copy(samples = samples.verifiedUntil(term, it)) } ?: this

internal fun GroupState.withSettled(): GroupState {
    val durable = durable()
    val advanced = durable != Position.ORIGIN && !isSettled(durable)
    return if (advanced) copy(settled = settled.put(durable.term, durable.index).bounded()) else this
}

private fun PersistentMap<Term, Long>.bounded() =
    if (size > MAXIMUM_SETTLED_TERMS) remove(keys.min()) else this

/** Reads of data from before that many failovers cannot be proved to be in the history; they are refused. */
private const val MAXIMUM_SETTLED_TERMS = 8
