package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.standins.database.DatabaseServerModel
import dev.hibiscusreach.standins.database.DatabaseServerSettings

/** A backend server model with its failures. */
class FakeServer(val server: BackendServer, private val schedule: Schedule) {
    /** The state of the database; survives a kill, as databases keep their log. */
    val model =
        DatabaseServerModel(
            DatabaseServerSettings(
                name = server.name,
                connectionLimit = server.connectionLimit,
                slots = server.slots,
            ),
        )

    /** Whether the process runs. */
    var isUp: Boolean = true
        private set

    /** Sessions that get no answers any more, although new ones work. */
    val silentSessions = mutableSetOf<Long>()

    /** Added to each replication round. */
    var replicationLagMillis: Long = 0

    /** Added to each answer. */
    var slownessMillis: Long = 0

    /** New work (statements and transactions) that arrived, by time in milliseconds. */
    val newWorkAt = mutableListOf<Long>()

    private val openSessions = mutableSetOf<Long>()
    private val pendingConfirms = mutableMapOf<Long, (ControlAnswer) -> Unit>()
    private var nextCall = 0L

    /** Ends the process; its sessions break. */
    fun kill() {
        isUp = false
        openSessions.forEach(model::closeSession)
        openSessions.clear()
        pendingConfirms.clear()
    }

    /** Starts the process again with the log it had. */
    fun restart() {
        isUp = true
    }

    /** Opens a session; false if the limit is reached. */
    fun open(session: Long): Boolean = model.openSession(session).also { if (it) openSessions += session }

    /** Closes a session. */
    fun close(session: Long) {
        if (openSessions.remove(session)) model.closeSession(session)
    }

    /** Whether the session is open here. */
    fun hasSession(session: Long): Boolean = session in openSessions

    /** Runs a command when a slot is free, and hands the answer to [reply]. */
    fun execute(session: Long, command: SessionCommand, reply: (SessionAnswer) -> Unit) {
        if (command is SessionCommand.Execute || command is SessionCommand.Begin) newWorkAt += schedule.nowMillis
        val end = model.slots.reserve(schedule.nowMillis, STATEMENT_MILLIS)
        schedule.afterMillis(end - schedule.nowMillis + slownessMillis) {
            if (isUp && hasSession(session)) {
                val answer = model.execute(session, command, schedule.nowMillis)
                if (session !in silentSessions) reply(answer)
            }
        }
    }

    /** Carries a control command out, and hands the answer to [reply] when there is one. */
    fun control(command: ControlCommand, reply: (ControlAnswer) -> Unit) {
        schedule.afterMillis(slownessMillis) {
            if (isUp) {
                val call = nextCall++
                val answer = model.control(call, command, schedule.nowMillis)
                if (answer == null) pendingConfirms[call] = reply else reply(answer)
                completeConfirms()
            }
        }
    }

    /** Answers the confirms that are due. */
    fun completeConfirms() =
        model.completedConfirms(schedule.nowMillis).forEach { pendingConfirms.remove(it.call)?.invoke(it.answer) }

    private companion object {
        const val STATEMENT_MILLIS = 1L
    }
}
