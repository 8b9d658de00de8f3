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
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState

/** What requests read of the other slices. */
internal interface RequestViews {
    /** The group of [database]. */
    fun group(state: ProxyState, database: DatabaseName): GroupView

    /** The other proxies. */
    fun fleet(state: ProxyState): FleetView

    /** As [dev.hibiscusreach.core.pool.PoolsState.freeConnections]. */
    fun freeConnections(state: ProxyState, server: ServerName): Int
}

/** What requests read of one database group. */
internal interface GroupView {
    val term: Term
    val primary: ServerName?
    val leadershipVerifiedAt: MonotonicTime?

    /** Whether a majority is known to hold [position] and no promotion can lose it. */
    fun isDurable(position: Position): Boolean

    fun servers(now: MonotonicTime): List<ServerView>

    fun ageOf(position: Position, now: MonotonicTime): Millis?
}

/** What requests read of the fleet. */
internal interface FleetView {
    fun isHome(group: DatabaseGroup): Boolean

    fun home(group: DatabaseGroup, domain: FailureDomainName): NodeIdentity?

    fun isLive(node: NodeIdentity): Boolean

    fun domainOf(node: NodeIdentity): FailureDomainName?
}

/** The views that the slices of the state give. */
internal object SliceViews : RequestViews {
    override fun group(state: ProxyState, database: DatabaseName): GroupView = SliceGroupView(state, database)

    override fun fleet(state: ProxyState): FleetView = SliceFleetView(state)

    override fun freeConnections(state: ProxyState, server: ServerName): Int = state.pools.freeConnections(server)
}

private class SliceGroupView(private val state: ProxyState, private val database: DatabaseName) : GroupView {
    override val term: Term get() = state.groups.term(database)
    override val primary: ServerName? get() = state.groups.primary(database)
    override val leadershipVerifiedAt: MonotonicTime? get() = state.groups.leadershipVerifiedAt(database)

    override fun servers(now: MonotonicTime): List<ServerView> = state.groups.servers(database, now)

    override fun isDurable(position: Position): Boolean = state.groups.isDurable(database, position)

    override fun ageOf(position: Position, now: MonotonicTime): Millis? = state.groups.ageOf(database, position, now)
}

private class SliceFleetView(private val state: ProxyState) : FleetView {
    override fun isHome(group: DatabaseGroup): Boolean = DatabaseHomes.isHome(state, group)

    override fun home(group: DatabaseGroup, domain: FailureDomainName): NodeIdentity? =
        DatabaseHomes.home(state, group, domain)

    override fun isLive(node: NodeIdentity): Boolean = state.membership.isLive(node)

    override fun domainOf(node: NodeIdentity): FailureDomainName? = state.membership.domainOf(node)
}
