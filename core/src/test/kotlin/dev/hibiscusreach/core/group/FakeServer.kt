package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.persistentListOf

/** Simulated backend server that implements the control protocol and holds a log of positions. */
internal class FakeServer(val name: ServerName, val domain: FailureDomainName) {
    var term = Term(0)
    var role = ServerRole.REPLICA
    var log = persistentListOf<Position>()
    var follows: ServerName? = null
    var up = true
    var stalled = false
    var leaving = false
    val promotedIn = mutableListOf<Term>()
    private var fencedBy: NodeIdentity? = null

    val status get() = ServerStatus(name, term, role, applied, leaving)
    val applied get() = log.lastOrNull() ?: Position.ORIGIN

    fun holds(position: Position): Boolean = log.getOrNull(position.index.toInt() - 1) == position

    fun write(): Position {
        check(role == ServerRole.PRIMARY) { "$name is no primary" }
        return Position(term, log.size + 1L).also { log = log.add(it) }
    }

    fun replicateFrom(primary: FakeServer) {
        if (!stalled && primary.term == term && primary.role == ServerRole.PRIMARY) log = primary.log
    }

    /** The answer to [command], or null while a Confirm waits for its position. */
    fun answer(command: ControlCommand, waitOver: Boolean): ControlAnswer? =
        when (command) {
            is ControlCommand.Probe -> ControlAnswer.Confirmed(status)
            is ControlCommand.Confirm -> confirm(command, waitOver)
            is ControlCommand.Fence -> answer(fence(command))
            is ControlCommand.Promote -> answer(promote(command))
            is ControlCommand.Follow -> answer(follow(command))
        }

    private fun confirm(command: ControlCommand.Confirm, waitOver: Boolean): ControlAnswer? =
        if (command.term != term) {
            answer(accepted = false)
        } else if (applied >= command.position) {
            answer(accepted = true)
        } else {
            answer(accepted = false).takeIf { waitOver }
        }

    fun fenceFor(term: Term, proposer: NodeIdentity) = fence(ControlCommand.Fence(term, proposer))

    private fun fence(command: ControlCommand.Fence): Boolean {
        val accepted = command.term > term || (command.term == term && command.proposer == fencedBy)
        if (accepted && command.term > term) {
            term = command.term
            fencedBy = command.proposer
            role = ServerRole.REPLICA
            follows = null
        }
        return accepted
    }

    private fun promote(command: ControlCommand.Promote): Boolean {
        val accepted = command.term == term && command.proposer == fencedBy
        if (accepted) {
            role = ServerRole.PRIMARY
            promotedIn += term
        }
        return accepted
    }

    private fun follow(command: ControlCommand.Follow): Boolean {
        val accepted = command.term > term || (command.term == term && role == ServerRole.REPLICA)
        if (accepted) {
            if (command.term > term) fencedBy = null
            term = command.term
            role = ServerRole.REPLICA
            follows = command.primary
        }
        return accepted
    }

    private fun answer(accepted: Boolean): ControlAnswer =
        if (accepted) ControlAnswer.Confirmed(status) else ControlAnswer.Refused(status, "refused")
}
