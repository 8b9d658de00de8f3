package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.configuration.ConfigurationState
import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step

/** Runs the requests part with a fake pools part, which grants or denies connections at once, and with [FakeViews]. */
internal class RequestHarness {
    val self = Fixture.node(port = 1)
    val views = FakeViews(self)
    val effects = mutableListOf<Effect>()
    val signals = mutableListOf<Signal>()
    val denials = mutableMapOf<ServerName, ErrorKind>()
    var poolsRespond = true
    val servers = mutableMapOf<ConnectionNumber, ServerName>()
    private val timers = mutableMapOf<TimerKey, MonotonicTime>()
    private var now = MonotonicTime(1_000_000)
    private var connections = 0L
    private val fakePools =
        ReducerPart { state, event, _ ->
            if (event is Signal) signals += event
            val isAnswered = event is Signal.ConnectionRequested && poolsRespond
            if (isAnswered) Step(state, signals = listOf(poolReply(event))) else Step(state)
        }
    private val reducer = ProxyReducer(listOf(fakePools, RequestsPart(views)))
    var state: ProxyState =
        ProxyState
            .initial(ProxySettings(self, Fixture.GALWAY))
            .copy(configuration = ConfigurationState(ConfigurationIndex(Fixture.CONFIGURATION)))

    val commands get() = effects.filterIsInstance<Effect.SendSessionCommand>()
    val lastCommand: SessionCommand get() = commands.last().command
    val answers get() = effects.filterIsInstance<Effect.AnswerCaller>().map { it.answer }
    val forwards get() = sent<PeerMessage.ForwardedRequest>()
    val refusals get() = answers.map { (it as CallerAnswer.Refused).kind }
    val completed get() = answers.single() as CallerAnswer.Completed

    inline fun <reified M : PeerMessage> sent() =
        effects.filterIsInstance<Effect.SendPeerMessage>().map { it.message }.filterIsInstance<M>()

    inline fun <reified S : Signal> signalled() = signals.filterIsInstance<S>()

    fun counted(counter: CounterName) = effects.filterIsInstance<Effect.Count>().filter { it.counter == counter }

    fun handle(event: Event) {
        val transition = reducer.reduce(state, TimedEvent(now, Fixture.WALL_CLOCK, random = 7, event))
        state = transition.state
        effects += transition.effects
        transition.effects.forEach { effect ->
            if (effect is Effect.StartTimer) timers[effect.key] = now + effect.delay
            if (effect is Effect.CancelTimer) timers.remove(effect.key)
        }
    }

    /** Advances the time by [millis] and fires the timers that become due. */
    fun advanceTime(millis: Long) {
        val end = now + Millis(millis)
        while (true) {
            val (key, due) = timers.entries.filter { it.value <= end }.minByOrNull { it.value } ?: break
            timers.remove(key)
            now = maxOf(now, due)
            handle(Event.TimerFired(key))
        }
        now = end
    }

    fun sendRequest(
        body: RequestBody,
        number: Long = 1,
        seen: Position = Position.ORIGIN,
        deadline: Long = 10_000,
        caller: CallerName = Fixture.TABLET,
    ) {
        val session = SessionToken().including(Fixture.JOBS, seen)
        val request = request(body, number).copy(session = session, deadline = Millis(deadline), caller = caller)
        handle(Event.RequestArrived(ArrivalNumber(number), request))
    }

    fun request(body: RequestBody, number: Long = 1) =
        CallerRequest(
            identifier = RequestIdentifier("request-$number"),
            caller = Fixture.TABLET,
            database = Fixture.JOBS,
            session = SessionToken(),
            deadline = 10.seconds,
            body = body,
        )

    /** Opens a transaction and returns its identifier. */
    fun beginTransaction(number: Long = 1): String {
        sendRequest(RequestBody.BeginTransaction, number)
        answer(done(at(10)))
        return checkNotNull((answers.last() as CallerAnswer.Completed).transaction)
    }

    /** Answers the last command that was sent. */
    fun answer(answer: SessionAnswer) = commands.last().let { answer(it, answer) }

    fun answer(sent: Effect.SendSessionCommand, answer: SessionAnswer) =
        handle(Event.SessionAnswered(sent.connection, sent.attempt, answer))

    fun breakConnection() =
        handle(Signal.ConnectionLost(commands.last().connection, ConnectionFailure.BROKEN))

    fun confirmDurability() = handle(Signal.DurabilityReached(signalled<Signal.DurabilityRequested>().last().attempt))

    fun failDurability() = handle(Signal.DurabilityNotReached(signalled<Signal.DurabilityRequested>().last().attempt))

    fun confirmLeadership() =
        handle(Signal.LeadershipConfirmed(signalled<Signal.LeadershipCheckRequested>().last().attempt))

    /** Makes [server] the primary of [term]; null while no new primary is known. */
    fun replacePrimary(server: ServerName?, term: Long) {
        views.term = Term(term)
        views.primary = server
        handle(Signal.PrimaryChanged(Fixture.JOBS, views.term, server))
    }

    fun poolReply(wanted: Signal.ConnectionRequested): Signal =
        denials[wanted.server]?.let { Signal.ConnectionDenied(wanted.attempt, it) }
            ?: Signal.ConnectionGranted(wanted.attempt, ConnectionNumber(++connections)).also {
                servers[it.connection] = wanted.server
            }
}
