package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Moves the shares of connections between homes as the membership and the inventory change. */
internal object ShareRoles {
    /** Compares every role with the present membership and inventory. */
    fun evaluate(state: ProxyState, now: MonotonicTime): Step {
        val groups = state.configuration.index.databaseGroups
        val evaluated = groups.fold(Step(state)) { step, group -> step.then { evaluateGroup(it, group, now) } }
        return evaluated.then { ShareRelease.releaseRemovedGroups(it) }
    }

    /** Takes note of connections that an earlier home has closed. */
    fun released(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.SharesReleased,
        now: MonotonicTime,
    ): Step {
        val database = state.configuration.index.groupOf(message.server)?.name
        val role = database?.let { state.pools.roles[it] } as? ShareRole.Acquiring ?: return Step(state)
        val count = (role.released[message.server] ?: 0) + message.count
        val updated =
            role.copy(
                released = role.released.put(message.server, count),
                releasing = if (message.last) role.releasing.remove(from) else role.releasing.add(from),
            )
        val next = if (message.last && updated.releasing.isEmpty()) ShareRole.Held else updated
        return ShareAllowances.withRole(state, database, next)
            .then { ConnectionDispatch.dispatchDatabase(it, database, now) }
    }

    /** Ends the wait for earlier homes that have not shown up or are gone. */
    fun expire(state: ProxyState, now: MonotonicTime): Step {
        val due =
            state.pools.roles.filterValues { role ->
                role is ShareRole.Acquiring && now >= role.until && role.releasing.none(state.membership::isLive)
            }
        return due.keys.fold(Step(state)) { step, database ->
            step
                .then { ShareAllowances.withRole(it, database, ShareRole.Held) }
                .then { ConnectionDispatch.dispatchDatabase(it, database, now) }
        }
    }

    /** Gives every held share up for the takeover delay, because another home may have been chosen during a pause. */
    fun afterPause(state: ProxyState, now: MonotonicTime): Step {
        val until = now + state.settings.pool.takeoverDelay
        return state.pools.roles.entries.fold(Step(state)) { step, (database, role) ->
            when (role) {
                is ShareRole.Held, is ShareRole.Acquiring ->
                    step.then { ShareAllowances.withRole(it, database, ShareRole.Acquiring(until = until)) }
                is ShareRole.Releasing -> step
            }
        }
    }

    private fun evaluateGroup(state: ProxyState, group: DatabaseGroup, now: MonotonicTime): Step {
        val home = DatabaseHomes.home(state, group, state.settings.failureDomain)
        val isHome = home == state.settings.self
        val role = state.pools.roles[group.name]
        val acquiring = { ShareRole.Acquiring(until = now + state.settings.pool.takeoverDelay) }
        return when {
            isHome && role == null -> ShareAllowances.withRole(state, group.name, acquiring())
            isHome && role is ShareRole.Releasing -> ShareAllowances.withRole(state, group.name, acquiring())
            isHome && role != null -> ShareAllowances.withRole(state, group.name, role)
            role == null -> Step(state)
            else -> ShareRelease.release(state, group, home)
        }
    }
}
