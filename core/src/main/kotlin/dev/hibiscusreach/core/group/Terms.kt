package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** Accepts [primary] as the primary of [term] unless a primary of this or a later term is already known. */
internal fun GroupsStepBuilder.adoptPrimary(database: DatabaseName, term: Term, primary: ServerName) {
    val groupState = group(database) ?: return
    val isNewer = term > groupState.term || (term == groupState.term && groupState.primary == null)
    if (!isNewer || term == Term(0)) return
    update(database) {
        it.copy(
            term = term,
            primary = primary,
            adoptedAt = now,
            termStart = null,
            confirms = it.confirms.clear(),
        )
    }
    updateHighestTerm(database, term)
    failWaits(database)
    endFailover(database)
}

/** Updates the highest term seen; a proposal of a lower term is abandoned. */
internal fun GroupsStepBuilder.updateHighestTerm(database: DatabaseName, term: Term) {
    val groupState = group(database) ?: return
    if (term > groupState.highestTerm) {
        update(database) { it.copy(highestTerm = term, highestTermSince = now) }
        abandonOutdatedProposal(database)
    }
}

/** Abandons this process's proposal if a higher term than the proposed one is known. */
internal fun GroupsStepBuilder.abandonOutdatedProposal(database: DatabaseName) {
    val groupState = group(database) ?: return
    val proposed = groupState.failover.proposedTerm ?: groupState.term
    if (groupState.failover !is FailoverState.Watching && proposed < groupState.highestTerm) backOff(database)
}
