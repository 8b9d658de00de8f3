package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.seconds
import kotlin.random.Random

/** One proxy that believes in [nodes] - 1 peers; its effects go nowhere and no time passes. */
internal class LoneProxy(private val nodes: Int) {
    private val time = SimulatedTime()

    val proxy = SimulatedProxy(Deployment.settings(0, nodes), time, Random(1)) { _, _ -> }

    init {
        proxy.deliver(Event.Started)
        for (index in 1 until nodes) {
            proxy.deliver(introduction(Deployment.identity(index), index))
        }
    }

    /** Takes [configuration] over as if a peer had delivered it, and selects the homes. */
    fun load(configuration: Configuration) {
        val peer = Deployment.identity(1)
        proxy.deliver(Event.PeerMessageReceived(peer, PeerMessage.ConfigurationDelivered(configuration)))
        check(proxy.state.configuration.index.generation == configuration.generation) { "configuration not adopted" }
        proxy.deliver(Event.TimerFired(TimerKey.ProbePeriod))
    }

    /** The arrival of one more peer. */
    fun newcomer(): Event = introduction(Deployment.identity(nodes), nodes)

    private fun introduction(identity: NodeIdentity, index: Int) =
        Event.PeerIntroduced(PeerUpdate(identity, Deployment.domain(index, nodes), PeerCondition.ALIVE))
}

/** Request number [index] of the measured workload: one statement that writes. */
internal fun arrival(index: Int, database: String, access: Access = Access.WRITE): Event.RequestArrived =
    Event.RequestArrived(
        ArrivalNumber(index.toLong()),
        CallerRequest(
            identifier = RequestIdentifier("request-$index"),
            caller = CallerName("caller-0"),
            database = DatabaseName(database),
            session = SessionToken(),
            deadline = 20.seconds,
            body =
            RequestBody.Statements(
                statements = listOf(Statement("put key-$index value-$index")),
                access = access,
                createdAtMillis = SimulatedProxy.WALL_CLOCK_MILLIS,
            ),
        ),
    )
