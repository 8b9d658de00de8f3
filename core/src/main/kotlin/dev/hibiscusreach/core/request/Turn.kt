package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** The handling of one event: collects the slice's changes, effects and signals and becomes a [Step]. */
internal class Turn(
    private val initial: ProxyState,
    val context: StepContext,
    private val views: RequestViews,
) {
    private val effects = mutableListOf<Effect>()
    private val signals = mutableListOf<Signal>()

    /** The slice as it stands. */
    var slice: RequestsState = initial.requests

    val now: MonotonicTime get() = context.now
    val settings: ProxySettings get() = initial.settings
    val index: ConfigurationIndex get() = initial.configuration.index
    val hasConfiguration: Boolean get() = initial.configuration.isLoaded
    val fleet: FleetView get() = views.fleet(initial)

    fun group(database: DatabaseName): GroupView = views.group(initial, database)

    fun freeConnections(candidate: Candidate): Int = views.freeConnections(initial, candidate.name)

    fun emit(effect: Effect) {
        effects += effect
    }

    fun signal(signal: Signal) {
        signals += signal
    }

    fun count(counter: CounterName, label: String) = emit(Effect.Count(counter, label = label))

    fun startTimer(key: TimerKey, due: MonotonicTime) =
        emit(Effect.StartTimer(key, maxOf(due - now, Millis(0))))

    /** A number that this process has not given out yet. */
    fun nextNumber(): Long {
        slice = slice.copy(lastNumber = slice.lastNumber + 1)
        return slice.lastNumber
    }

    fun toStep(): Step = Step(initial.copy(requests = slice), effects.toList(), signals.toList())
}
