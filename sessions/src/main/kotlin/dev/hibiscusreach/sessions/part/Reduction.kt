package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.ServerHealth
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.SessionProxyState
import dev.hibiscusreach.sessions.state.Transaction
import kotlinx.collections.immutable.mutate

/** The reduction of one event: the state so far and the effects so far. */
internal class Reduction(var state: SessionProxyState, val now: MonotonicTime) {
    private val collected = mutableListOf<SessionEffect>()

    /** The effects so far, in order. */
    val effects: List<SessionEffect> get() = collected

    val settings get() = state.settings

    fun emit(effect: SessionEffect) {
        collected += effect
    }

    fun log(message: String, vararg fields: Pair<String, Any?>, level: LogLevel = LogLevel.INFO) =
        emit(SessionEffect.Log(level, message, linkedMapOf(*fields)))

    fun count(counter: SessionCounter, label: String) = emit(SessionEffect.Count(counter, label))

    fun session(number: SessionNumber): Session? = state.sessions[number]

    fun put(session: Session) {
        val isActive = session.pending != null || session.transaction is Transaction.Running
        val active = if (isActive) state.active.add(session.number) else state.active.remove(session.number)
        state = state.copy(sessions = state.sessions.put(session.number, session), active = active)
    }

    fun group(name: GroupName): GroupView = state.groups[name] ?: GroupView(name)

    fun put(group: GroupView) {
        state = state.copy(groups = state.groups.put(group.name, group))
    }

    fun health(server: ServerName): ServerHealth = state.health[server] ?: ServerHealth()

    fun updateHealth(server: ServerName, change: (ServerHealth) -> ServerHealth) {
        state = state.copy(health = state.health.put(server, change(health(server))))
    }

    /** Removes a session from the queue of [group]. */
    fun stopWaiting(group: GroupName, session: SessionNumber) {
        val queue = state.waiting[group] ?: return
        val rest = queue.remove(session)
        val queues = state.waiting.mutate { if (rest.isEmpty()) it.remove(group) else it[group] = rest }
        state = state.copy(waiting = queues)
    }
}
