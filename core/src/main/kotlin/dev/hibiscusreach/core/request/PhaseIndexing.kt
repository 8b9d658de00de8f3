package dev.hibiscusreach.core.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** The index with the entries of [request]'s phase. */
internal fun PhaseIndex.with(request: PendingRequest): PhaseIndex =
    when (val phase = request.phase) {
        is RequestPhase.Arrived -> this

        is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary ->
            copy(waiting = waiting.adding(request.database, request.arrival))

        is RequestPhase.Connecting, is RequestPhase.Verifying ->
            copy(attempts = attempts.put((phase as RequestPhase.Attempted).attempt, request.arrival))

        is RequestPhase.Sent ->
            copy(
                attempts = attempts.put(phase.attempt, request.arrival),
                connections = connections.put(phase.connection, request.arrival),
            )

        is RequestPhase.Forwarded ->
            copy(
                forwards = forwards.put(phase.number, request.arrival),
                peers = peers.adding(phase.peer, request.arrival),
            )
    }

/** The index without the entries of [request]'s phase. */
internal fun PhaseIndex.without(request: PendingRequest): PhaseIndex =
    when (val phase = request.phase) {
        is RequestPhase.Arrived -> this

        is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary ->
            copy(waiting = waiting.removing(request.database, request.arrival))

        is RequestPhase.Connecting, is RequestPhase.Verifying ->
            copy(attempts = attempts.remove((phase as RequestPhase.Attempted).attempt))

        is RequestPhase.Sent ->
            copy(
                attempts = attempts.remove(phase.attempt),
                connections = connections.remove(phase.connection),
            )

        is RequestPhase.Forwarded ->
            copy(
                forwards = forwards.remove(phase.number),
                peers = peers.removing(phase.peer, request.arrival),
            )
    }

private fun <K, V> PersistentMap<K, PersistentSet<V>>.adding(key: K, value: V): PersistentMap<K, PersistentSet<V>> =
    put(key, (this[key] ?: persistentSetOf()).add(value))

private fun <K, V> PersistentMap<K, PersistentSet<V>>.removing(key: K, value: V): PersistentMap<K, PersistentSet<V>> {
    val left = this[key]?.remove(value).orEmpty()
    return if (left.isEmpty()) remove(key) else put(key, left as PersistentSet<V>)
}
