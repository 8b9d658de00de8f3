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

/** Read access of the requests part to the other slices of the state. */
internal interface RequestViews {
    /** Returns the view of the group of [database]. */
    fun group(state: ProxyState, database: DatabaseName): GroupView

    /** Returns the view of the fleet of proxies. */
    fun fleet(state: ProxyState): FleetView

    /** See [dev.hibiscusreach.core.pool.PoolsState.freeConnections]. */
    fun freeConnections(state: ProxyState, server: ServerName): Int
}

/** Read access to one database group. */
internal interface GroupView {
    val term: Term

    /** The primary of [term], or null while it is unknown or being replaced. */
    val primary: ServerName?

    /** Latest time such that a majority answered in [term] to messages sent at or after it; null if there is none. */
    val leadershipVerifiedAt: MonotonicTime?

    /** Whether a majority is known to hold [position] and no promotion can lose it. */
    fun isDurable(position: Position): Boolean

    /** Returns all servers of the group; empty if this process is not a home of it. */
    fun servers(now: MonotonicTime): List<ServerView>

    /** Returns an upper bound of the age of data at [position], or null if it is unknown. */
    fun ageOf(position: Position, now: MonotonicTime): Millis?
}

/** Read access to the fleet of proxies. */
internal interface FleetView {
    /** Whether this process is the home of [group] in its own failure domain. */
    fun isHome(group: DatabaseGroup): Boolean

    /** Returns the home of [group] in [domain], or null if there is none. */
    fun home(group: DatabaseGroup, domain: FailureDomainName): NodeIdentity?

    /** Whether [node] is this process or a peer that is not known to be gone. */
    fun isLive(node: NodeIdentity): Boolean

    /** Returns the failure domain of [node], or null if the node is unknown. */
    fun domainOf(node: NodeIdentity): FailureDomainName?
}

/** Views that read the slices of a [ProxyState]. */
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
