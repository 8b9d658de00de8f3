package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.group.ServerView
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.reducer.ProxyState

/** Views of one database group and the fleet with values that a test sets. */
internal class FakeViews(private val self: NodeIdentity) : RequestViews, GroupView, FleetView {
    override var term: Term = Term(1)
    override var primary: ServerName? = Fixture.PRIMARY
    var durablePosition: Position = at(index = 10)
    override var leadershipVerifiedAt: MonotonicTime? = null
    val appliedPositions =
        mutableMapOf(Fixture.PRIMARY to at(10), Fixture.REPLICA to at(10), Fixture.FAR_REPLICA to at(10))
    val homes = mutableMapOf(Fixture.GALWAY to self)
    val liveNodes = mutableSetOf(self)

    /** Age of the data at each known position; the age at other positions is unknown. */
    val ages = mutableMapOf(at(10) to 5.milliseconds)

    override fun servers(now: MonotonicTime): List<ServerView> =
        appliedPositions.map { (name, position) ->
            ServerView(name, reachable = true, leaving = false, position, 1.milliseconds, warmUpPercent = 100)
        }

    override fun isDurable(position: Position): Boolean = position <= durablePosition

    override fun ageOf(position: Position, now: MonotonicTime): Millis? = ages[position]

    override fun group(state: ProxyState, database: DatabaseName): GroupView = this

    override fun fleet(state: ProxyState): FleetView = this

    override fun freeConnections(state: ProxyState, server: ServerName): Int = 1

    override fun isHome(group: DatabaseGroup): Boolean = homes[Fixture.GALWAY] == self

    override fun home(group: DatabaseGroup, domain: FailureDomainName): NodeIdentity? = homes[domain]

    override fun isLive(node: NodeIdentity): Boolean = node in liveNodes

    override fun domainOf(node: NodeIdentity): FailureDomainName? =
        homes.entries.find { it.value == node }?.key
}
