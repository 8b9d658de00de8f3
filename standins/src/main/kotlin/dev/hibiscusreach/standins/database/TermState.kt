package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** Term and role of one server. Each function returns the reason for a refusal, or null if it was accepted. */
internal class TermState(private val self: ServerName) {
    var term: Term = Term(0)
        private set
    var role: ServerRole = ServerRole.REPLICA
        private set

    /** The primary of [term] that this server replicates from, or null if it is the primary or knows none. */
    var following: ServerName? = null
        private set
    private var fencedBy: NodeIdentity? = null

    /** Whether this server is the primary of exactly [wanted]. */
    fun isPrimaryOf(wanted: Term): Boolean = role == ServerRole.PRIMARY && wanted == term

    /** Enters [newTerm] on behalf of [proposer]. */
    fun fence(newTerm: Term, proposer: NodeIdentity): String? =
        when {
            newTerm > term -> {
                enter(newTerm, proposer)
                null
            }
            newTerm < term -> "term $newTerm is below $term"
            proposer == fencedBy -> null
            else -> "term $term has another proposer"
        }

    /** Makes this server the primary of [newTerm]. */
    fun promote(newTerm: Term, proposer: NodeIdentity): String? =
        when {
            newTerm != term || proposer != fencedBy -> "not fenced for term $newTerm by $proposer"
            following != null -> "follows $following in term $term"
            else -> {
                role = ServerRole.PRIMARY
                null
            }
        }

    /** Makes this server a replica of [primary] in [newTerm]. */
    fun follow(newTerm: Term, primary: ServerName): String? =
        when {
            newTerm < term -> "term $newTerm is below $term"
            primary == self -> if (isPrimaryOf(newTerm)) null else "cannot follow itself"
            isPrimaryOf(newTerm) -> "is the primary of term $term"
            newTerm == term && following != null && following != primary -> "follows $following in term $term"
            else -> {
                if (newTerm > term) enter(newTerm, proposer = null)
                following = primary
                null
            }
        }

    private fun enter(newTerm: Term, proposer: NodeIdentity?) {
        term = newTerm
        fencedBy = proposer
        role = ServerRole.REPLICA
        following = null
    }
}
