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
import kotlinx.collections.immutable.mutate

/** Mutable context for reducing one event: the current state and the effects emitted so far. */
internal class Reduction(var state: SessionProxyState, val now: MonotonicTime) {
    private val emitted = mutableListOf<SessionEffect>()

    /** The emitted effects, in order. */
    val effects: List<SessionEffect> get() = emitted

    /** The settings of the current state. */
    val settings get() = state.settings

    /** Groups in which a connection may have become available, so that their waiting statements get their turn. */
    val servable = mutableSetOf<GroupName>()

    /** Sessions whose statements arrived while others waited. They are admitted after the queue has been served. */
    val unadmitted = mutableSetOf<SessionNumber>()

    /** Appends an effect. */
    fun emit(effect: SessionEffect) {
        emitted += effect
    }

    /** Emits a log line with [fields] in the given order. */
    fun log(message: String, vararg fields: Pair<String, Any?>, level: LogLevel = LogLevel.INFO) =
        emit(SessionEffect.Log(level, message, linkedMapOf(*fields)))

    /** Emits an increment of [counter] under [label]. */
    fun count(counter: SessionCounter, label: String) = emit(SessionEffect.Count(counter, label))

    /** The session with this number, or null after it has ended. */
    fun session(number: SessionNumber): Session? = state.sessions[number]

    /** Stores a session and marks it active while it has a pending statement or a running transaction. */
    fun put(session: Session) {
        val isActive = session.pending != null || session.running != null || session.remote != null
        val active = if (isActive) state.active.add(session.number) else state.active.remove(session.number)
        val before = state.sessions[session.number]
        val keptBytes = state.keptBytes + session.keptBytes - (before?.keptBytes ?: 0)
        val keptByOrigin = state.keptByOrigin.replace(before, session)
        val sessions = state.sessions.put(session.number, session)
        state = state.copy(sessions = sessions, keptBytes = keptBytes, keptByOrigin = keptByOrigin, active = active)
    }

    /** The state of a group; an empty one if nothing is known of it. */
    fun group(name: GroupName): GroupView = state.groups[name] ?: GroupView(name)

    /** Stores the state of a group. */
    fun put(group: GroupView) {
        state = state.copy(groups = state.groups.put(group.name, group))
    }

    /** The observed health of a server; an empty one before the first observation. */
    fun health(server: ServerName): ServerHealth = state.health[server] ?: ServerHealth()

    /** Replaces the health of a server with the result of [change]. */
    fun updateHealth(server: ServerName, change: (ServerHealth) -> ServerHealth) {
        state = state.copy(health = state.health.put(server, change(health(server))))
    }

    /** Removes a session from the queue of statements that wait for a connection in [group]. */
    fun dequeue(group: GroupName, session: SessionNumber) {
        val queue = state.waiting[group] ?: return
        val remaining = queue.remove(session)
        val queues = state.waiting.mutate { if (remaining.isEmpty()) it.remove(group) else it[group] = remaining }
        state = state.copy(waiting = queues)
    }
}

/** Forgets a session that has ended. */
internal fun Reduction.remove(session: Session) {
    val before = state.sessions[session.number]
    val keptBytes = state.keptBytes - (before?.keptBytes ?: 0)
    val keptByOrigin = state.keptByOrigin.replace(before, after = null)
    val sessions = state.sessions.remove(session.number)
    val active = state.active.remove(session.number)
    state = state.copy(sessions = sessions, keptBytes = keptBytes, keptByOrigin = keptByOrigin, active = active)
}
