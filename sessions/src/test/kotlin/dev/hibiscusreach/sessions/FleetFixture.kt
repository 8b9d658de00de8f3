package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.event.TimedSessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.Consistency
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.GroupRule
import dev.hibiscusreach.sessions.model.ProxyIdentity
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.Route
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.StoredRecord
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.LocalProxy
import dev.hibiscusreach.sessions.state.SessionProxyState
import dev.hibiscusreach.sessions.tenant.ApiKey
import dev.hibiscusreach.sessions.tenant.TenantName

/**
 * Runs the reducers of many proxies in simulated time, with a store of fleet records, links between the proxies and
 * servers that answer at once. Hosts can be lost and return.
 */
class FleetFixture(domains: Int, hostsPerDomain: Int, groups: Int = 1, private val connectionLimit: Int = 88) {
    private val domainNames = (1..domains).map { FailureDomainName("domain-$it") }
    private val groupNames = (1..groups).map { GroupName("group-$it") }
    val nodes = domainNames.flatMap { domain -> (1..hostsPerDomain).map { "${domain.value}-host-$it" } }
    val lost = mutableSetOf<String>()

    /** Nodes whose writes to the store have neither effect nor answer. */
    val writesLost = mutableSetOf<String>()
    val states = HashMap<String, SessionProxyState>()
    val replies = HashMap<SessionNumber, MutableList<SessionReply>>()

    /** Effects of all proxies that the fixture does not carry out, with the proxy's node. */
    val otherEffects = mutableListOf<Pair<String, SessionEffect>>()

    /** Whether servers answer the statements that they receive. */
    var serversAnswer = true

    /** Numbers of statements that reached servers, by the node of the proxy that sent them. */
    val served = HashMap<String, Int>()

    /** The tenants of the connections on which callers' statements reached servers, in order. */
    val servedAs = mutableListOf<TenantName?>()
    val store = HashMap<FleetKey, StoredRecord>()
    var now = 1_000L
    private var revision = 100L
    private var era = 0L
    private var nextSession = 1L
    private val homeSessions = HashMap<Pair<String, SessionNumber>, SessionNumber>()
    private val origins = HashMap<SessionNumber, Triple<String, String, SessionNumber>>()
    private val statements = HashMap<SessionNumber, String>()

    init {
        groupNames.forEach {
            val record = FleetRecord.Group(it.value, epoch = 1, term = Term(1), primary = primary(it))
            store[FleetKey.group(it)] = StoredRecord(record, Revision(revision++))
        }
        nodes.forEach { start(it) }
    }

    /** Starts a proxy, which replaces the one that ran on the host before. */
    fun start(node: String) {
        lost -= node
        val domain = FailureDomainName(node.substringBefore("-host"))
        val regions = domainNames.associateWith { RegionName("region-${domainNames.indexOf(it) % 2}") }
        val self = LocalProxy(ProxyIdentity(node, revision++), endpoint(node), domain, regions)
        states[node] = SessionProxyState(self)
        feed(node, SessionEvent.ConfigurationRead(configuration()))
        feed(node, SessionEvent.ServersRead(servers().associateBy { it.name }))
    }

    /** Ends a proxy: the links to it break, and it handles no more events. */
    fun lose(node: String, connected: Boolean = true) {
        lost += node
        origins.entries.removeIf { it.value.second == node || it.value.first == node }
        homeSessions.keys.removeIf { it.first == node }
        nodes.filter { it !in lost }.forEach { feed(it, SessionEvent.HomeLinkLost(endpoint(node), connected)) }
    }

    /** Lets every running proxy read the store now. */
    fun readStore() =
        nodes.filter { it !in lost }.forEach { feed(it, fleetRead()) }

    private fun fleetRead() = SessionEvent.FleetRead(MonotonicTime(now), store.toMap(), era)

    /** Replaces the records with those of [copy]; later revisions are given out again, in the next era. */
    fun restoreStore(copy: Map<FleetKey, StoredRecord>) {
        era++
        revision = copy.values.maxOf { it.revision.number }
        store.clear()
        store += copy.mapValues { it.value.copy(revision = Revision(it.value.revision.number, era)) }
    }

    /** Stores a record, as if a proxy had written it. */
    fun put(key: FleetKey, record: FleetRecord) {
        store[key] = StoredRecord(record, Revision(++revision, era))
    }

    /** Advances the time, in which the proxies read the store once a second. */
    fun advance(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += STEP_MILLIS
            nodes.filter { it !in lost }.forEach { node ->
                feed(node, SessionEvent.TimerFired(TimerSubject.REQUESTS))
                if (now % GROUP_MILLIS == 0L) feed(node, SessionEvent.TimerFired(TimerSubject.GROUPS))
            }
            if (now % READ_MILLIS == 0L) readStore()
        }
    }

    /** Opens a session at [node] and returns its number. */
    fun session(
        node: String,
        group: Int = 0,
        database: DatabaseName = database(groupNames[group]),
        key: ApiKey? = null,
    ): SessionNumber {
        val number = SessionNumber(nextSession++)
        feed(node, SessionEvent.SessionRequested(number, database, key))
        return number
    }

    fun send(node: String, session: SessionNumber, statement: CallerStatement) =
        feed(node, SessionEvent.StatementArrived(session, "request-${nextSession++}", statement))

    /** The latest reply to [session]. */
    fun reply(session: SessionNumber): SessionReply? = replies[session]?.lastOrNull()

    /** The nodes whose records name the group with this index. */
    fun homes(group: Int = 0): List<String> =
        store.values
            .mapNotNull { it.record as? FleetRecord.Proxy }
            .filter { it.identity.node !in lost && it.isHomeOf(groupNames[group]) }
            .map { it.identity.node }

    fun feed(node: String, event: SessionEvent) {
        val before = states.getValue(node)
        val transition = SessionReducer.reduce(before, TimedSessionEvent(MonotonicTime(now), event))
        states[node] = transition.state
        transition.effects.forEach { carryOut(node, it) }
    }

    /** Connections that all proxies hold to each server. */
    fun connections(): Map<ServerName, Int> =
        nodes
            .filter { it !in lost }
            .flatMap { states.getValue(it).connections.values }
            .groupingBy { it.server }
            .eachCount()

    private fun carryOut(node: String, effect: SessionEffect) {
        when (effect) {
            is SessionEffect.ForwardStatement -> forward(node, effect)
            is SessionEffect.AnswerForwarded -> answer(effect)
            is SessionEffect.EndForwarded -> {
                val home = homeSessions.remove(nodeAt(effect.home) to effect.session)
                if (home != null) feed(nodeAt(effect.home), SessionEvent.SessionEnded(home))
            }
            is SessionEffect.Reply -> replies.getOrPut(effect.session) { mutableListOf() } += effect.reply
            is SessionEffect.OpenConnection -> feed(node, SessionEvent.ConnectionOpened(effect.connection))
            is SessionEffect.SendStatements -> if (serversAnswer) answerStatements(node, effect)
            is SessionEffect.WriteFleet -> write(node, effect)
            is SessionEffect.DeleteFleet -> store.remove(effect.key)
            is SessionEffect.ReadFleet -> feed(node, fleetRead())
            else -> otherEffects += node to effect
        }
    }

    private fun forward(node: String, effect: SessionEffect.ForwardStatement) {
        val home = nodeAt(effect.home)
        if (home in lost) return feed(node, SessionEvent.HomeLinkLost(effect.home, connected = false))
        val session = homeSessions.getOrPut(home to effect.session) { SessionNumber(nextSession++) }
        origins[session] = Triple(node, home, effect.session)
        statements[session] = effect.statement.identifier
        feed(home, SessionEvent.StatementForwarded(session, effect.statement))
    }

    private fun answer(effect: SessionEffect.AnswerForwarded) {
        val (node, home, session) = origins[effect.session] ?: return
        if (node in lost) return
        val identifier = statements.getValue(effect.session)
        feed(node, SessionEvent.ForwardAnswered(session, endpoint(home), identifier, effect.answer))
    }

    private fun answerStatements(node: String, effect: SessionEffect.SendStatements) {
        for (statement in effect.statements) {
            served.merge(node, 1, Int::plus)
            if (statement is ServerStatement.Run || statement is ServerStatement.Commit) {
                servedAs += states.getValue(node).connections[effect.connection]?.tenant
            }
            val status =
                when (statement) {
                    is ServerStatement.Begin -> TransactionStatus.OPEN
                    else -> openStatus(node, effect, statement)
                }
            val result = ServerAnswer.Result.Completed("proof")
            val answer = ServerAnswer(listOf("row"), result, status, Position(Term(1), revision))
            feed(node, SessionEvent.ServerAnswered(effect.connection, answer))
        }
    }

    private fun openStatus(
        node: String,
        effect: SessionEffect.SendStatements,
        statement: ServerStatement,
    ): TransactionStatus {
        val holder = states.getValue(node).connections[effect.connection]?.heldBy
        val open = holder?.let { states.getValue(node).sessions[it] }?.running != null
        val ends = statement is ServerStatement.Commit ||
            statement == ServerStatement.Rollback
        return if (open && !ends) TransactionStatus.OPEN else TransactionStatus.NONE
    }

    private fun write(node: String, effect: SessionEffect.WriteFleet) {
        if (node in writesLost) return
        val matches = store[effect.key]?.revision == effect.expectedRevision
        if (matches) put(effect.key, effect.record)
        val outcome = if (matches) WriteOutcome.Written(Revision(revision, era)) else WriteOutcome.Conflict
        feed(node, SessionEvent.FleetWritten(effect.key, outcome, effect.record))
    }

    /** A configuration with the routes of all groups, and those of [added] to the first group, but not of [removed]. */
    fun configuration(
        version: Long = 1,
        added: List<DatabaseName> = emptyList(),
        removed: Set<DatabaseName> = emptySet(),
    ) =
        RoutingConfiguration(
            version = version,
            routes = (groupNames.associateBy { database(it) } + added.associateWith { groupNames.first() })
                .filterKeys { it !in removed }
                .mapValues { (database, group) -> route(group).copy(database = database) },
            groups = groupNames.associateWith { GroupRule(it, connectionLimit, synchronousReplicas = 0) },
            transactionIdleLimit = Millis(3_000),
        )

    private fun route(group: GroupName) =
        Route(
            database = database(group),
            group = group,
            consistency = Consistency.Primary,
            statementTimeout = Millis(1_000),
            latencyObjective = Millis(400),
            priority = 1,
        )

    private fun servers(): List<RegisteredServer> =
        groupNames.flatMap { group ->
            (1..SERVERS_PER_GROUP).map { number ->
                RegisteredServer(
                    name = server(group, number),
                    group = group,
                    endpoint = Endpoint("${group.value}-$number", port = 5_000),
                    failureDomain = domainNames[number % domainNames.size],
                    slots = 5,
                    leaving = false,
                    role = if (number == 1) ServerRole.PRIMARY else ServerRole.REPLICA,
                    startedAtMillis = 1,
                )
            }
        }

    companion object {
        private const val STEP_MILLIS = 25L
        private const val GROUP_MILLIS = 100L
        private const val READ_MILLIS = 1_000L
        private const val SERVERS_PER_GROUP = 3

        fun endpoint(node: String) = Endpoint(node, port = 7_000)

        fun nodeAt(endpoint: Endpoint): String = endpoint.address

        fun database(group: GroupName) = DatabaseName("database-${group.value}")

        fun server(group: GroupName, number: Int) = ServerName("${group.value}-server-$number")

        private fun primary(group: GroupName) = server(group, 1)
    }
}
