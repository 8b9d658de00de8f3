package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** A server that leads [term] in place of the recorded primary. */
internal data class LeadingServer(val name: ServerName, val term: Term) {
    companion object {
        /**
         * The server that reports the latest term; null if none leads in place of the recorded primary, or if the
         * promotion of another server may still take effect and replace it.
         */
        fun find(reduction: Reduction, group: GroupView, change: PrimaryChange): LeadingServer? {
            val record = group.record ?: return null
            val requested = SuccessorRecording.outstanding(reduction, group, change)
            return change.statuses.entries
                .filter { isNewPrimary(record, it.key, it.value) }
                .maxByOrNull { it.value.term }
                ?.takeIf { requested == null || it.key == requested }
                ?.let { LeadingServer(it.key, it.value.term) }
        }

        // A term has only one primary, so another server that leads in the recorded term is the old primary with its
        // log under a new name.
        private fun isNewPrimary(record: FleetRecord.Group, server: ServerName, status: ServerStatus): Boolean {
            val isOther = status.term > record.term || status.term == record.term && server != record.primary
            return status.role == ServerRole.PRIMARY && isOther
        }
    }
}
