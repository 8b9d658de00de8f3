package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Promotes the recorded primary anew. If a server that is gone or silent may have led, the platform replaces the
 * primary by it once more when it returns; only a promotion of its own gives the primary a later term than that server.
 */
internal object IncumbentPromotion {
    /** The recorded primary if it has to be promoted anew and leads, is not leaving and was not rejected; else null. */
    fun candidate(reduction: Reduction, group: GroupView, change: PrimaryChange): ServerName? {
        val isLeading = SuccessorChoice.isIncumbentReporting(group, change) && isStaying(reduction, group)
        val isRequired = isLeading && PossibleLeaders.of(reduction, group, change).isNotEmpty()
        return group.record?.primary?.takeIf { isRequired && it !in change.rejected }
    }

    /** Whether the recorded primary is registered and not leaving. */
    fun isStaying(reduction: Reduction, group: GroupView): Boolean =
        group.record?.let { reduction.state.server(it.primary) }?.leaving == false
}
