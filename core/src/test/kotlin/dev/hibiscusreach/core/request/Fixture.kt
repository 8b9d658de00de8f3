package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomain
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.Rules
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.StatementResult
import dev.hibiscusreach.core.model.Term

/** Configuration of one database with a primary and a replica in the proxy's region and a replica in another region. */
internal object Fixture {
    val GALWAY = FailureDomainName("galway")
    val MAYO = FailureDomainName("mayo")
    val DUBLIN = FailureDomainName("dublin")
    val PRIMARY = ServerName("jobs-galway")
    val REPLICA = ServerName("jobs-mayo")
    val FAR_REPLICA = ServerName("jobs-dublin")
    val JOBS = DatabaseName("jobs")
    val TABLET = CallerName("tablet")
    val OFFICE = CallerName("office")
    const val WALL_CLOCK = 1_800_000_000_000L
    val RESULTS = listOf(StatementResult(changedRows = 1))

    private val DOMAINS =
        listOf(
            GALWAY to "west",
            MAYO to "west",
            DUBLIN to "east"
        ).map { FailureDomain(it.first, RegionName(it.second)) }
    private val SERVERS = listOf(server(PRIMARY, GALWAY), server(REPLICA, MAYO), server(FAR_REPLICA, DUBLIN))
    private val CALLERS = listOf(Caller(TABLET), Caller(OFFICE))
    val CONFIGURATION =
        Configuration(
            generation = 1,
            inventory = Inventory(DOMAINS, listOf(DatabaseGroup(JOBS, SERVERS)), CALLERS),
            rules = Rules(listOf(CallerRule(TABLET, maximumReadAgeMillis = 1_000))),
        )

    fun node(port: Int) = NodeIdentity(Endpoint("127.0.0.1", port), startedAtMillis = 1, nonce = 1)

    private fun server(name: ServerName, domain: FailureDomainName) =
        BackendServer(name, domain, Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", 2), connectionLimit = 30, slots = 5)
}

internal fun at(index: Long, term: Long = 1) = Position(Term(term), index)

internal fun status(server: ServerName = Fixture.PRIMARY, term: Long = 1): ServerStatus {
    val role = if (server == Fixture.PRIMARY) ServerRole.PRIMARY else ServerRole.REPLICA
    return ServerStatus(server, Term(term), role, applied = at(index = 10))
}

internal fun done(position: Position, server: ServerName = Fixture.PRIMARY, term: Long = position.term.number) =
    SessionAnswer.Done(status(server, term), Fixture.RESULTS, position)

internal fun write(repeatable: Boolean = false, createdAtMillis: Long? = Fixture.WALL_CLOCK) =
    RequestBody.Statements(listOf(Statement("insert")), Access.WRITE, repeatable, createdAtMillis)

internal fun read(maximumAgeMillis: Long? = null) =
    RequestBody.Statements(listOf(Statement("select")), Access.READ, maximumAgeMillis = maximumAgeMillis)
