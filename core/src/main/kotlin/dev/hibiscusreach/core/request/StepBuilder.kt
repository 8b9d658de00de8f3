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

/** Collects the changes of the requests slice, the effects and the signals while one event is handled. */
internal class StepBuilder(
    private val initial: ProxyState,
    val context: StepContext,
    private val views: RequestViews,
) {
    private val effects = mutableListOf<Effect>()
    private val signals = mutableListOf<Signal>()

    /** The requests slice with the changes made so far. */
    var slice: RequestsState = initial.requests

    val now: MonotonicTime get() = context.now
    val settings: ProxySettings get() = initial.settings
    val configurationIndex: ConfigurationIndex get() = initial.configuration.index
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

    /** Starts the timer [key], or restarts it if it is running, to fire at [due]. */
    fun startTimer(key: TimerKey, due: MonotonicTime) =
        emit(Effect.StartTimer(key, maxOf(due - now, Millis(0))))

    /** Returns a number that this process has not assigned before. */
    fun nextNumber(): Long {
        slice = slice.copy(lastNumber = slice.lastNumber + 1)
        return slice.lastNumber
    }

    /** Returns the changed state with the collected effects and signals. */
    fun toStep(): Step = Step(initial.copy(requests = slice), effects.toList(), signals.toList())
}
