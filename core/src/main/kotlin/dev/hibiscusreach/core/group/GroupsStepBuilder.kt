package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCallNumber
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.reducer.GroupSettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** A control command that was sent to [server] and is not answered yet. */
internal data class ControlCall(
    val database: DatabaseName,
    val server: ServerName,
    val command: ControlCommand,
    val sentAt: MonotonicTime,
)

/** Collects the state changes, effects and signals of the groups part while it handles one event. */
internal class GroupsStepBuilder(val state: ProxyState, val context: StepContext) {
    var groups: GroupsState = state.groups
    private val effects = mutableListOf<Effect>()
    private val signals = mutableListOf<Signal>()

    val now: MonotonicTime get() = context.now
    val settings: GroupSettings get() = state.settings.group

    fun group(database: DatabaseName): GroupState? = groups.databases[database]

    /** Changes the state of [database]; does nothing if this process has none. */
    fun update(database: DatabaseName, change: (GroupState) -> GroupState) {
        val groupState = group(database) ?: return
        groups = groups.copy(databases = groups.databases.put(database, change(groupState)))
    }

    fun emit(effect: Effect) {
        effects += effect
    }

    fun signal(signal: Signal) {
        signals += signal
    }

    /** Sends [command] to [server] and records the call; does nothing if the group has no such server. */
    fun sendControl(
        group: GroupState,
        server: ServerName,
        command: ControlCommand,
        timeout: Millis = settings.probeTimeout,
    ) {
        val endpoint = group.group.server(server)?.controlEndpoint ?: return
        val call = ControlCallNumber(groups.lastControlCall + 1)
        groups =
            groups.copy(
                lastControlCall = call.value,
                calls = groups.calls.put(call, ControlCall(group.name, server, command, now)),
            )
        emit(Effect.SendControlCommand(call, server, endpoint, command, timeout))
    }

    /** Removes the call from the outstanding ones and returns it; null if it is not outstanding. */
    fun completeCall(number: ControlCallNumber): ControlCall? {
        val call = groups.calls[number] ?: return null
        groups = groups.copy(calls = groups.calls.remove(number))
        return call
    }

    /** Calls the platform; the answer is matched to the database whose failover waits for the returned number. */
    fun callPlatform(request: PlatformCall): PlatformCallNumber {
        val call = PlatformCallNumber(PartName.GROUPS, groups.lastPlatformCall + 1)
        groups = groups.copy(lastPlatformCall = call.value)
        emit(Effect.Count(CounterName.PLATFORM_CALLS, label = if (request is PlatformCall.Put) "put" else "get"))
        emit(Effect.CallPlatform(call, request, state.settings.membership.platformTimeout))
        return call
    }

    fun toStep(): Step = Step(state.copy(groups = groups), effects, primaryChanges() + signals)

    private fun primaryChanges(): List<Signal> =
        if (groups.databases === state.groups.databases) {
            emptyList()
        } else {
            (groups.databases.keys + state.groups.databases.keys).mapNotNull(::primaryChange)
        }

    private fun primaryChange(database: DatabaseName): Signal? {
        val before = state.groups.databases[database]
        val after = groups.databases[database]
        val primary = after?.servingPrimary()
        val term = after?.term ?: before?.term ?: Term(0)
        val newTerm = primary != null && term != before?.term
        val changed = before !== after && (newTerm || primary != before?.servingPrimary())
        return if (changed) Signal.PrimaryChanged(database, term, primary) else null
    }
}
