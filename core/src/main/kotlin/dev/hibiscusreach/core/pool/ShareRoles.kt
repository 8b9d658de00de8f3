package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Moves connection shares between homes when the membership or the inventory changes. */
internal object ShareRoles {
    /** Updates every role to the current membership and inventory. */
    fun evaluate(state: ProxyState, now: MonotonicTime): Step {
        val groups = state.configuration.index.databaseGroups
        val evaluated = groups.fold(Step(state)) { step, group -> step.then { evaluateGroup(it, group, now) } }
        return evaluated.then { ShareRelease.releaseRemovedGroups(it) }
    }

    /** Acquires every held share again after a pause, as another home may have taken it over meanwhile. */
    fun reacquireAfterPause(state: ProxyState, now: MonotonicTime): Step =
        state.pools.roles.entries.fold(Step(state)) { step, (database, role) ->
            when (role) {
                is ShareRole.Held, is ShareRole.Acquiring -> step.then { ShareAcquisition.begin(it, database, now) }
                is ShareRole.Releasing -> step
            }
        }

    private fun evaluateGroup(state: ProxyState, group: DatabaseGroup, now: MonotonicTime): Step {
        val home = DatabaseHomes.home(state, group, state.settings.failureDomain)
        val isHome = home == state.settings.self
        val role = state.pools.roles[group.name]
        return when {
            isHome && (role == null || role is ShareRole.Releasing) -> ShareAcquisition.begin(state, group.name, now)
            isHome && role != null -> ShareAllowances.withRole(state, group.name, role)
            role == null -> Step(state)
            else -> ShareRelease.release(state, group.name, home)
        }
    }
}
