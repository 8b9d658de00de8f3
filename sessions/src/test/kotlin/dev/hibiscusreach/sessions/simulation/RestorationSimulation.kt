package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.ProxyFixture
import dev.hibiscusreach.sessions.SessionReducer
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.event.TimedSessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.ProxyIdentity
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.StoredRecord
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.LocalProxy
import dev.hibiscusreach.sessions.state.SessionProxyState
import java.util.PriorityQueue
import java.util.TreeMap

/** What callers send, and what proxies and servers do by themselves. */
internal data class SimulationOptions(
    val statements: List<CallerStatement> = listOf(ProxyFixture.WRITE),
    /** Proxies read the records through the peer that they select. */
    val readsThroughPeers: Boolean = false,
    /** A replaced primary becomes a replica some time after it can reach the new one. */
    val primariesFollow: Boolean = false,
    /** Whether a write may run at a replaced primary if it is not acknowledged, as one that is in flight does. */
    val allowsLateWrites: Boolean = false,
)

/**
 * Runs the reducers of some proxies against a store that can be restored, and servers that can be promoted. Checks the
 * writes and reads of callers, which send statements to every proxy.
 */
internal class RestorationSimulation(
    private val locations: List<LocalProxy>,
    private val initial: List<SessionEvent>,
    private val log: (String) -> Unit,
    val network: SimulatedNetwork = SimulatedNetwork(),
    private val options: SimulationOptions = SimulationOptions(),
) {
    private class Mirror(val readAt: Long, val records: Map<FleetKey, StoredRecord>, val era: Long)

    private class Action(val at: Long, val order: Long, val run: () -> Unit)

    private val actions = PriorityQueue<Action>(compareBy(Action::at, Action::order))
    private val states = TreeMap<String, SessionProxyState>()
    private val asked = HashMap<PeerRequestNumber, Pair<String, SessionEffect.AskPeer>>()
    private val queued = HashMap<String, ArrayDeque<SessionEvent>>()
    private val sources = HashMap<String, String>()
    private val mirrors = HashMap<String, Mirror>()
    private var counter = 0L
    val store = SimulatedStore()
    val servers = SimulatedServers()
    private val checks = StatementChecks(servers)
    val nodes = locations.map { it.identity.node }

    /** Nodes whose proxy does not run. */
    val stopped = mutableSetOf<String>()
    val violations: List<String> get() = checks.violations
    var now = 0L
        private set

    /** Times of the writes that were acknowledged. */
    val acknowledged = mutableListOf<Long>()

    init {
        nodes.forEach(::start)
    }

    /** Starts a proxy that knows nothing of before. */
    fun start(node: String) {
        stopped -= node
        val location = locations.first { it.identity.node == node }
        val identity = ProxyIdentity(node, incarnation = ++counter)
        states[node] = SessionProxyState(location.copy(identity = identity))
        listOf(queued, sources, mirrors).forEach { it -= node }
        initial.forEach { feed(node, it) }
        feed(node, SessionEvent.ServersRead(servers.registered()))
        read(node)
    }

    /** Asks a proxy to stop in order. */
    fun stop(node: String) = feed(node, SessionEvent.StopRequested)

    /** Advances the time, in which every running proxy reads the store once a second and gets writes to serve. */
    fun advance(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += STEP_MILLIS
            while (actions.isNotEmpty() && actions.peek().at <= now) actions.remove().run()
            for (node in nodes.filter { it !in stopped }) step(node)
            if (now % COPY_MILLIS == 0L) store.keepCopy(now)
        }
    }

    private fun step(node: String) {
        if (!network.isFrozen(node)) {
            queued.remove(node).orEmpty().forEach { feed(node, it) }
            feed(node, SessionEvent.TimerFired(TimerSubject.REQUESTS))
            if (now % GROUP_MILLIS == 0L) feed(node, SessionEvent.TimerFired(TimerSubject.GROUPS))
            if (now % READ_MILLIS == 0L) read(node, if (options.readsThroughPeers) sources[node] else null)
        }
        if (now % GROUP_MILLIS == 0L) options.statements.forEach { request(node, it) }
    }

    /** Runs [run] after [delay] milliseconds. */
    fun later(delay: Long, run: () -> Unit) {
        if (delay == 0L) run() else actions.add(Action(now + delay, counter++, run))
    }

    private fun reachesStore(node: String) = !store.isAway && network.toStore(node) == Reach.OPEN

    /** Reads the records through [peer], or from the store if it is null. */
    private fun read(node: String, peer: String? = null) {
        val readAt = now
        val identity = states.getValue(node).self.identity
        val arrival = network.storeDelay(node, usual = 0)
        val answer = network.storeDelay(node, usual = 0)
        val reach = if (peer == null) network.toStore(node) else network.between(node, peer)
        val isLost = reach != Reach.OPEN || peer == null && store.isAway || peer != null && peer in stopped
        if (isLost || arrival == null || answer == null) {
            return feed(node, SessionEvent.FleetReadFailed("no answer"))
        }
        later(arrival) {
            val read = if (peer == null) Mirror(readAt, store.records, store.era) else mirrors[peer]
            val registered = servers.registered()
            later(answer) {
                val isSameProcess = states.getValue(node).self.identity == identity
                if (read != null && isSameProcess) adopt(node, read, registered)
            }
        }
    }

    private fun adopt(node: String, read: Mirror, registered: Map<ServerName, RegisteredServer>) {
        val known = mirrors[node]
        if (known != null && (known.readAt > read.readAt || known.era > read.era)) return
        mirrors[node] = read
        feed(node, SessionEvent.ServersRead(registered))
        feed(node, SessionEvent.FleetRead(MonotonicTime(read.readAt), read.records, read.era))
    }

    private fun request(node: String, statement: CallerStatement) {
        val session = SessionNumber(++counter)
        val identifier = "request-$counter"
        checks.sent(identifier)
        feed(node, SessionEvent.SessionRequested(session, ProxyFixture.SIGN_OFFS))
        feed(node, SessionEvent.StatementArrived(session, identifier, statement))
    }

    private fun feed(node: String, event: SessionEvent) {
        if (node in stopped) return
        if (network.isFrozen(node)) {
            queued.getOrPut(node, ::ArrayDeque) += event
            return
        }
        val transition = SessionReducer.reduce(states.getValue(node), TimedSessionEvent(MonotonicTime(now), event))
        states[node] = transition.state
        transition.effects.forEach { carryOut(node, it) }
    }

    /** Feeds an event unless the proxy has been started anew in the meantime. */
    private fun feedLater(node: String, delay: Long, event: () -> SessionEvent) {
        val incarnation = states.getValue(node).self.identity
        later(delay) { if (states.getValue(node).self.identity == incarnation) feed(node, event()) }
    }

    private fun carryOut(node: String, effect: SessionEffect) {
        when (effect) {
            is SessionEffect.WriteFleet -> writeStore(node, effect)
            is SessionEffect.DeleteFleet -> if (reachesStore(node)) store.delete(effect.key, effect.expectedRevision)
            is SessionEffect.Log ->
                if (!effect.message.startsWith("statement")) log("$now $node ${effect.message} ${effect.fields}")
            is SessionEffect.ReadFleet -> later(MESSAGE_MILLIS) { read(node) }
            is SessionEffect.SelectStoreSource -> {
                val peer = effect.peer
                if (peer == null) sources -= node else sources[node] = nodeAt(peer)
            }
            is SessionEffect.AskPeer -> ask(node, effect)
            is SessionEffect.AnswerPeer -> answerPeer(node, effect)
            is SessionEffect.SendControl -> control(node, effect)
            is SessionEffect.Promote -> promote(node, effect)
            else -> carryOutForCallers(node, effect)
        }
    }

    private fun carryOutForCallers(node: String, effect: SessionEffect) {
        when (effect) {
            is SessionEffect.ForwardStatement ->
                feedLater(node, MESSAGE_MILLIS) { SessionEvent.HomeLinkLost(effect.home, connected = false) }
            is SessionEffect.Reply -> reply(node, effect)
            SessionEffect.Exit -> stopped += node
            is SessionEffect.OpenConnection -> open(node, effect)
            is SessionEffect.SendStatements -> {
                val identity = states.getValue(node).self.identity
                val server = states.getValue(node).connections[effect.connection]?.server
                if (server != null && !network.isBlocked(node, server)) {
                    effect.statements.forEach { statement ->
                        later(MESSAGE_MILLIS) {
                            val event = run(node, effect.connection, server, statement)
                            if (states.getValue(node).self.identity == identity) feed(node, event)
                        }
                    }
                }
            }
            else -> Unit
        }
    }

    private fun reply(node: String, effect: SessionEffect.Reply) {
        val proof = (effect.reply as? SessionReply.Completed)?.proof
        val commit = proof?.toLongOrNull()
        if (commit != null) {
            acknowledged += now
            checks.writeAcknowledged(commit, "$now: $node acknowledges commit $commit")
        }
        feedLater(node, MESSAGE_MILLIS) { SessionEvent.SessionEnded(effect.session) }
    }

    private fun lateWrite(description: String) {
        log("$description, ${servers.leader} leads")
        if (!options.allowsLateWrites) checks.violations += "late write: $description, ${servers.leader} leads"
    }

    private fun open(node: String, effect: SessionEffect.OpenConnection) {
        val server = effect.server.name
        val isBlocked = network.isBlocked(node, server)
        feedLater(node, if (isBlocked) SILENCE_MILLIS else MESSAGE_MILLIS) {
            when {
                isBlocked -> SessionEvent.ConnectionLost(effect.connection, ConnectionFailure.TIMED_OUT)
                server in servers.down -> SessionEvent.ConnectionLost(effect.connection, ConnectionFailure.REFUSED)
                else -> SessionEvent.ConnectionOpened(effect.connection)
            }
        }
    }

    private fun run(
        node: String,
        connection: ConnectionNumber,
        server: ServerName,
        statement: ServerStatement,
    ): SessionEvent {
        val status = servers.status(server)
        val run = statement as? ServerStatement.Run
        val writes = run?.text == ProxyFixture.WRITE.text
        val result =
            when {
                status == null -> return SessionEvent.ConnectionLost(connection, ConnectionFailure.BROKEN)
                writes && !servers.isPrimary(server) ->
                    ServerAnswer.Result.Failed(ServerFailure.NOT_PRIMARY, "READONLY", "")
                writes -> {
                    val commit = servers.write(server)
                    if (server != servers.leader) lateWrite("$now $node commits $commit at $server")
                    ServerAnswer.Result.Completed("$commit")
                }
                else -> ServerAnswer.Result.Completed("proof")
            }
        if (run != null && !writes) checks.readRuns(run.identifier, server, "$now: $node reads")
        val position = servers.status(server)?.received
        val answer = ServerAnswer(emptyList(), result, TransactionStatus.NONE, position)
        return SessionEvent.ServerAnswered(connection, answer)
    }

    private fun writeStore(node: String, effect: SessionEffect.WriteFleet) {
        val arrival = network.storeDelay(node, MESSAGE_MILLIS)
        val answer = network.storeDelay(node, usual = 0)
        var outcome: WriteOutcome = WriteOutcome.Unknown
        if (arrival != null) {
            later(arrival) {
                if (reachesStore(node)) outcome = store.write(effect.key, effect.record, effect.expectedRevision)
            }
        }
        val answeredAfter = (arrival ?: SILENCE_MILLIS) + (answer ?: SILENCE_MILLIS)
        feedLater(node, minOf(answeredAfter, SILENCE_MILLIS)) {
            val isInTime = answeredAfter < SILENCE_MILLIS
            SessionEvent.FleetWritten(effect.key, if (isInTime) outcome else WriteOutcome.Unknown, effect.record)
        }
    }

    private fun ask(node: String, effect: SessionEffect.AskPeer) {
        val peer = nodeAt(effect.peer)
        val answered = { outcome: PeerOutcome -> SessionEvent.PeerAnswered(effect.peer, effect.request, outcome) }
        val reach = network.between(node, peer)
        when {
            reach == Reach.SILENT -> feedLater(node, SILENCE_MILLIS) { answered(PeerOutcome.Silent) }
            reach == Reach.REFUSED || peer in stopped ->
                feedLater(node, MESSAGE_MILLIS) { answered(PeerOutcome.Refused) }
            else -> {
                val number = PeerRequestNumber(++counter)
                asked[number] = node to effect
                later(MESSAGE_MILLIS) { feed(peer, SessionEvent.PeerAsked(number, effect.request)) }
                feedLater(node, SILENCE_MILLIS) {
                    val isAnswered = asked.remove(number) == null
                    if (isAnswered) SessionEvent.TimerFired(TimerSubject.REQUESTS) else answered(PeerOutcome.Silent)
                }
            }
        }
    }

    private fun answerPeer(node: String, effect: SessionEffect.AnswerPeer) {
        val (asker, question) = asked[effect.number] ?: return
        if (network.between(node, asker) != Reach.OPEN) return
        asked.remove(effect.number)
        val outcome = PeerOutcome.Answered(effect.answer)
        feedLater(asker, MESSAGE_MILLIS) { SessionEvent.PeerAnswered(question.peer, question.request, outcome) }
    }

    private fun control(node: String, effect: SessionEffect.SendControl) {
        val name = effect.server.name
        if (network.isBlocked(node, name)) {
            return feedLater(node, SILENCE_MILLIS) { SessionEvent.ControlAnswered(name, effect.command, status = null) }
        }
        feedLater(node, MESSAGE_MILLIS) {
            val command = effect.command
            if (command is ControlRequest.StepDown) {
                servers.stepDown(name, command.term)
                later(CATCH_UP_MILLIS) { servers.catchUp(name) }
            }
            SessionEvent.ControlAnswered(name, command, servers.status(name))
        }
    }

    private fun promote(node: String, effect: SessionEffect.Promote) {
        checks.promotionRequested(effect.fencingToken, "$now: $node")
        val arrival = network.promotionDelay(usual = 0)
        val answer = network.promotionDelay(MESSAGE_MILLIS)
        var outcome = PromotionOutcome.UNKNOWN
        if (arrival != null) {
            later(arrival) {
                val isDown = effect.server in servers.down
                outcome = if (isDown) PromotionOutcome.REJECTED else PromotionOutcome.ACCEPTED
                if (!isDown) later(PROMOTION_MILLIS) { lead(effect.server) }
            }
        }
        val answeredAfter = (arrival ?: PROMOTION_TIMEOUT_MILLIS) + (answer ?: PROMOTION_TIMEOUT_MILLIS)
        feedLater(node, minOf(answeredAfter, PROMOTION_TIMEOUT_MILLIS)) {
            val isInTime = answeredAfter < PROMOTION_TIMEOUT_MILLIS
            val known = if (isInTime) outcome else PromotionOutcome.UNKNOWN
            SessionEvent.PromotionAnswered(effect.group, effect.server, known)
        }
    }

    private fun lead(server: ServerName) {
        if (!servers.promote(server)) return
        log("$now $server leads")
        checks.promoted("$now: $server")
        followLater()
    }

    /** Starts a server that was down. */
    fun startServer(server: ServerName) {
        servers.start(server)
        followLater()
    }

    private fun followLater() {
        if (options.primariesFollow) later(FOLLOW_MILLIS, servers::demoteOthers)
    }

    private fun nodeAt(endpoint: Endpoint) = locations.first { it.peerEndpoint == endpoint }.identity.node

    private companion object {
        const val STEP_MILLIS = 25L
        const val GROUP_MILLIS = 100L
        const val READ_MILLIS = 1_000L
        const val COPY_MILLIS = 500L
        const val MESSAGE_MILLIS = 25L
        const val SILENCE_MILLIS = 1_200L
        const val PROMOTION_MILLIS = 300L
        const val CATCH_UP_MILLIS = 500L
        const val FOLLOW_MILLIS = 1_000L
        const val PROMOTION_TIMEOUT_MILLIS = 2_000L
    }
}
