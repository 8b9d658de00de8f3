package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** Takes [primary] for the primary of [term] if no primary of this or a later term is known. */
internal fun GroupsTurn.adopt(database: DatabaseName, term: Term, primary: ServerName) {
    val known = group(database) ?: return
    val news = term > known.term || (term == known.term && known.primary == null)
    if (!news || term == Term(0)) return
    update(database) {
        it.copy(
            term = term,
            primary = primary,
            adoptedAt = now,
            termStart = null,
            confirms = it.confirms.clear(),
        )
    }
    noteTerm(database, term)
    failWaits(database)
    concludeFailover(database)
    signal(Signal.PrimaryChanged(database, term, primary))
}

/** Remembers the highest term seen, which stops proposers of lower terms. */
internal fun GroupsTurn.noteTerm(database: DatabaseName, term: Term) {
    val known = group(database) ?: return
    if (term > known.highestTerm) {
        update(database) { it.copy(highestTerm = term, highestTermSince = now) }
        stopLateProposal(database)
    }
}

/** Ends this process's proposal if a higher term than the proposed one is known. */
internal fun GroupsTurn.stopLateProposal(database: DatabaseName) {
    val known = group(database) ?: return
    val proposed = known.failover.proposedTerm ?: known.term
    if (known.failover !is FailoverState.Watching && proposed < known.highestTerm) pause(database)
}
