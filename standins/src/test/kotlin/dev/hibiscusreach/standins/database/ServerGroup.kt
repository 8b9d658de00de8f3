package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.Term

/** Three servers, each with one open session, whose messages the test delivers one by one. */
internal class ServerGroup(records: RecordLimits = RecordLimits(), connectionLimit: Int = 2) {
    val names = listOf("a", "b", "c").map(::ServerName)
    val servers =
        names.associateWith { DatabaseServerModel(DatabaseServerSettings(it, connectionLimit, records = records)) }
    var now = 0L

    init {
        servers.values.forEach { it.openSession(SESSION) }
    }

    fun server(name: String): DatabaseServerModel = servers.getValue(ServerName(name))

    fun control(name: String, command: ControlCommand): ControlAnswer? = server(name).control(1, command, now)

    fun promote(primary: String, term: Long, fenced: List<String> = listOf("a", "b", "c")) {
        fenced.forEach { control(it, ControlCommand.Fence(Term(term), PROPOSER)) }
        control(primary, ControlCommand.Promote(Term(term), PROPOSER))
        (fenced - primary).forEach { control(it, ControlCommand.Follow(Term(term), ServerName(primary))) }
    }

    fun replicate(replica: String) {
        val request = server(replica).replicationRequest() ?: return
        servers.getValue(request.primary).entriesFor(request)?.let(server(replica)::replicate)
    }

    fun send(name: String, command: SessionCommand): SessionAnswer = server(name).execute(SESSION, command, now)

    fun write(name: String, term: Long, text: String, id: String? = null, fingerprint: String = "f"): SessionAnswer {
        val key = id?.let { IdempotencyKey(RequestIdentifier(it), fingerprint) }
        return send(name, SessionCommand.Execute(Term(term), listOf(Statement(text)), true, Position.ORIGIN, key))
    }

    fun read(name: String, term: Long, text: String, minimum: Position = Position.ORIGIN): SessionAnswer =
        send(name, SessionCommand.Execute(Term(term), listOf(Statement(text)), false, minimum))

    companion object {
        const val SESSION = 1L
        val PROPOSER = NodeIdentity(Endpoint("127.0.0.1", 1), startedAtMillis = 1, nonce = 1)
        val OTHER_PROPOSER = NodeIdentity(Endpoint("127.0.0.1", 2), startedAtMillis = 1, nonce = 1)
    }
}

/** The first value of the first result of a successful answer. */
internal val SessionAnswer.value: String?
    get() = (this as SessionAnswer.Done).results.firstOrNull()?.rows?.firstOrNull()?.firstOrNull()
