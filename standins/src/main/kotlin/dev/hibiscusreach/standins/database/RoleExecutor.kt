package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus

/** Carries out the control commands that change a server's term or role. */
internal class RoleExecutor(
    private val contents: DatabaseContents,
    private val terms: TermState,
    private val sessions: SessionTable,
    private val status: (Long) -> ServerStatus,
) {
    fun fence(command: ControlCommand.Fence, now: Long): ControlAnswer =
        change(now) { fence(command.term, command.proposer) }

    fun follow(command: ControlCommand.Follow, now: Long): ControlAnswer =
        change(now) { follow(command.term, command.primary) }

    // A new primary starts its term with an empty entry. Only an entry of the current term that a majority holds
    // keeps servers with a tail of an older term from being promoted over it.
    fun promote(command: ControlCommand.Promote, now: Long): ControlAnswer =
        change(now) {
            val wasPrimary = isPrimaryOf(command.term)
            val reason = promote(command.term, command.proposer)
            if (reason == null && !wasPrimary) contents.append(LogEntry(contents.log.next(term), now))
            reason
        }

    private fun change(now: Long, change: TermState.() -> String?): ControlAnswer {
        val reason = terms.change()
        if (terms.role == ServerRole.REPLICA) sessions.dropTransactions()
        return if (reason == null) ControlAnswer.Confirmed(status(now)) else ControlAnswer.Refused(status(now), reason)
    }
}
