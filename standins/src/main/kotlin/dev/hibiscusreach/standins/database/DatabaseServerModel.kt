package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName

/** Size of a [DatabaseServerModel]. */
data class DatabaseServerSettings(
    val name: ServerName,
    val connectionLimit: Int = DEFAULT_CONNECTION_LIMIT,
    val slots: Int = DEFAULT_SLOTS,
    val records: RecordLimits = RecordLimits(),
) {
    private companion object {
        const val DEFAULT_CONNECTION_LIMIT = 30
        const val DEFAULT_SLOTS = 5
    }
}

/**
 * One backend server without I/O, clock or threads. Times are milliseconds passed in by the caller, of one clock for
 * all servers of a group, because records age by the time of the primary that wrote them. Not safe for concurrent use.
 */
class DatabaseServerModel(private val settings: DatabaseServerSettings) {
    private val contents = DatabaseContents(settings.records)
    private val terms = TermState(settings.name)
    private val sessions = SessionTable(settings.connectionLimit)
    private val roles = RoleExecutor(contents, terms, sessions, ::status)
    private val confirms = PendingConfirms(contents, terms, ::status)
    private val executor = SessionExecutor(contents, terms, sessions, ::status)

    // The last entry received. Without it a batch that ends before a diverged tail would be asked for again and again.
    private var matched = Position.ORIGIN

    /** The slots in which statements run. */
    val slots: SlotSchedule = SlotSchedule(settings.slots)

    /** Reported in every status. */
    var leaving: Boolean = false

    /** If set, session commands are answered with [SessionAnswer.Unavailable]. */
    var refusesWork: Boolean = false

    /** The earliest time at which a pending confirm ends, or null if none is pending. */
    val nextConfirmDeadline: Long? get() = confirms.nextDeadline

    /** What the server says of itself at [now]. */
    fun status(now: Long): ServerStatus =
        ServerStatus(
            server = settings.name,
            term = terms.term,
            role = terms.role,
            applied = contents.log.last,
            leaving = leaving,
            openConnections = sessions.size,
            busySlots = slots.busy(now),
        )

    /** Opens [session]; false if the connection limit is reached. */
    fun openSession(session: Long): Boolean = sessions.open(session)

    /** Closes [session]; its open transaction is rolled back. */
    fun closeSession(session: Long) = sessions.close(session)

    /** Runs [command] on the open [session]. The time that it takes is the business of [slots]. */
    fun execute(session: Long, command: SessionCommand, now: Long): SessionAnswer =
        when {
            refusesWork -> SessionAnswer.Unavailable(status(now))
            command.term < terms.term -> SessionAnswer.WrongTerm(status(now))
            else -> executor.execute(session, command, now)
        }

    /** Carries out [command]; null means that it is a confirm that [completedConfirms] will return as [call]. */
    fun control(call: Long, command: ControlCommand, now: Long): ControlAnswer? =
        when (command) {
            is ControlCommand.Probe -> ControlAnswer.Confirmed(status(now))
            is ControlCommand.Fence -> roles.fence(command, now)
            is ControlCommand.Promote -> roles.promote(command, now)
            is ControlCommand.Follow -> roles.follow(command, now)
            is ControlCommand.Confirm -> confirms.answer(call, command, now)
        }

    /** The pending confirms that are answered at [now]. To be asked for after every other call. */
    fun completedConfirms(now: Long): List<CompletedConfirm> =
        confirms.complete(now)

    /** What this server asks of the primary that it follows, or null if it follows none. */
    fun replicationRequest(): ReplicationRequest? =
        terms.following?.let { primary ->
            val positions = (contents.log.samplePositions() + matched).filter(contents.log::holds)
            ReplicationRequest(settings.name, primary, terms.term, positions.sortedDescending())
        }

    /** The entries that [request] lacks, or null if this server is not the primary of its term. */
    fun entriesFor(request: ReplicationRequest): ReplicationAnswer? {
        if (!terms.isPrimaryOf(request.term)) return null
        val common = request.positions.firstOrNull(contents.log::holds) ?: Position.ORIGIN
        return ReplicationAnswer(settings.name, terms.term, contents.log.after(common, BATCH_SIZE))
    }

    /** Takes over the entries of [answer] if they come from the primary that this server follows in its term. */
    fun replicate(answer: ReplicationAnswer) {
        if (answer.primary != terms.following || answer.term != terms.term) return
        answer.entries.forEach(contents::accept)
        matched = answer.entries.lastOrNull()?.position ?: matched
    }

    private companion object {
        /** Keeps a replication answer below a megabyte for values of up to about 4 KiB. */
        const val BATCH_SIZE = 200
    }
}
