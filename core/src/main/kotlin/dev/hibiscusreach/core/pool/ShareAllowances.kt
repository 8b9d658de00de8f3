package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import kotlinx.collections.immutable.toPersistentMap

/** Sets the roles of this process and the connection allowances derived from them. */
internal object ShareAllowances {
    /** Removes the role of this process for [database]; its allowances stay. */
    fun removeRole(state: ProxyState, database: DatabaseName): Step =
        Step(state.copy(pools = state.pools.copy(roles = state.pools.roles.remove(database))))

    /** Sets the role of this process for [database], and computes the allowances of the database's servers. */
    fun withRole(state: ProxyState, database: DatabaseName, role: ShareRole): Step {
        val group = state.configuration.index.group(database)
        val domain = state.settings.failureDomain
        val allowances =
            group?.servers.orEmpty().associate { server ->
                val share = DatabaseHomes.connectionShare(group!!, server, domain)
                server.name to allowance(state, role, server.name, share)
            }
        val pools =
            state.pools.copy(
                roles = state.pools.roles.put(database, role),
                allowances = (state.pools.allowances + allowances).toPersistentMap(),
            )
        return Step(state.copy(pools = pools))
    }

    private fun allowance(state: ProxyState, role: ShareRole, server: ServerName, share: Int): Int =
        when (role) {
            is ShareRole.Held -> share
            is ShareRole.Acquiring -> if (role.isOpeningAllowed) share - heldByOthers(state, role, server) else 0
            is ShareRole.Releasing -> 0
        }

    private fun heldByOthers(state: ProxyState, role: ShareRole.Acquiring, server: ServerName): Int =
        role.holdings.filterKeys(state.membership::isLive).values.sumOf { it[server] ?: 0 }
}
