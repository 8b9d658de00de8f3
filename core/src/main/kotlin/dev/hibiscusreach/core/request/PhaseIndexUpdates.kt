package dev.hibiscusreach.core.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Returns the index with the entries of [request]'s phase added. */
internal fun PhaseIndex.with(request: PendingRequest): PhaseIndex =
    when (val phase = request.phase) {
        is RequestPhase.Arrived -> this

        is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary ->
            copy(waitingByDatabase = waitingByDatabase.adding(request.database, request.arrival))

        is RequestPhase.Connecting, is RequestPhase.Verifying ->
            copy(byAttempt = byAttempt.put((phase as RequestPhase.Attempted).attempt, request.arrival))

        is RequestPhase.Sent ->
            copy(
                byAttempt = byAttempt.put(phase.attempt, request.arrival),
                byConnection = byConnection.put(phase.connection, request.arrival),
            )

        is RequestPhase.Forwarded ->
            copy(
                byForward = byForward.put(phase.number, request.arrival),
                byPeer = byPeer.adding(phase.peer, request.arrival),
            )
    }

/** Returns the index with the entries of [request]'s phase removed. */
internal fun PhaseIndex.without(request: PendingRequest): PhaseIndex =
    when (val phase = request.phase) {
        is RequestPhase.Arrived -> this

        is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary ->
            copy(waitingByDatabase = waitingByDatabase.removing(request.database, request.arrival))

        is RequestPhase.Connecting, is RequestPhase.Verifying ->
            copy(byAttempt = byAttempt.remove((phase as RequestPhase.Attempted).attempt))

        is RequestPhase.Sent ->
            copy(
                byAttempt = byAttempt.remove(phase.attempt),
                byConnection = byConnection.remove(phase.connection),
            )

        is RequestPhase.Forwarded ->
            copy(
                byForward = byForward.remove(phase.number),
                byPeer = byPeer.removing(phase.peer, request.arrival),
            )
    }

private fun <K, V> PersistentMap<K, PersistentSet<V>>.adding(key: K, value: V): PersistentMap<K, PersistentSet<V>> =
    put(key, (this[key] ?: persistentSetOf()).add(value))

private fun <K, V> PersistentMap<K, PersistentSet<V>>.removing(key: K, value: V): PersistentMap<K, PersistentSet<V>> {
    val left = this[key]?.remove(value).orEmpty()
    return if (left.isEmpty()) remove(key) else put(key, left as PersistentSet<V>)
}
