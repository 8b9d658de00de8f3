package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionNumber
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.math.exp

/** The right to start one operation before [expiresAt]: its first message to a server has to be sent until then. */
data class OperationToken(val expiresAt: MonotonicTime)

/** What this proxy holds and has requested of one tenant's allowance. */
data class TenantTokens(
    /** When an operation last needed a token. */
    val usedAt: MonotonicTime,
    /** Tokens that no operation has used, the ones that expire first first. */
    val tokens: PersistentList<OperationToken> = persistentListOf(),
    /** Sessions whose statement waits for a token, in order of arrival. */
    val waiting: PersistentSet<SessionNumber> = persistentSetOf(),
    /** Sessions whose statement had a token that has expired, in order; they come before [waiting]. */
    val renewing: PersistentSet<SessionNumber> = persistentSetOf(),
    /** Requests without an answer, one for each owner. */
    val requests: PersistentMap<Endpoint, OutstandingRequest> = persistentMapOf(),
    /** Owners that lacked tokens or failed when they were last asked. */
    val pauses: PersistentMap<Endpoint, OwnerPause> = persistentMapOf(),
    /** Operations that needed a token. */
    val demand: EventRate = EventRate(),
    /** Tokens that owners granted. */
    val supply: EventRate = EventRate(),
    /** When an owner last answered that it lacked tokens. */
    val shortAt: MonotonicTime? = null,
    /** When owners were first asked after the latest answer of one that grants; null if it has answered. */
    val unreachedSince: MonotonicTime? = null,
    /** Whether no owner is reached, so that the guaranteed minimum applies. */
    val onMinimum: Boolean = false,
    /** When operations of the minimum were taken within the latest window. */
    val minimumUses: PersistentList<MonotonicTime> = persistentListOf(),
) {
    /** Number of statements that wait for a token. */
    val waitingCount: Int get() = renewing.size + waiting.size

    /** The session whose statement gets the next token; null if none waits. */
    val firstWaiting: SessionNumber? get() = renewing.firstOrNull() ?: waiting.firstOrNull()

    /** All sessions whose statement waits for a token, in the order in which they get one. */
    val allWaiting: List<SessionNumber> get() = renewing.toList() + waiting

    /** Without the statement of [session] among those that wait. */
    fun without(session: SessionNumber): TenantTokens =
        copy(waiting = waiting.remove(session), renewing = renewing.remove(session))

    /** The oldest token that is valid at [now], and what is left; null if there is none. */
    fun takeToken(now: MonotonicTime): Pair<OperationToken, TenantTokens>? {
        val valid = withoutExpired(now)
        return valid.tokens.firstOrNull()?.let { it to valid.copy(tokens = valid.tokens.removeAt(0)) }
    }

    /** Adds [count] tokens that expire at [expiresAt]. */
    fun withTokens(count: Int, expiresAt: MonotonicTime): TenantTokens {
        val added = List(count) { OperationToken(expiresAt) }
        return copy(tokens = (tokens + added).sortedBy { it.expiresAt }.toPersistentList())
    }

    /** Without tokens that have expired at [now]. */
    fun withoutExpired(now: MonotonicTime): TenantTokens {
        val isCurrent = tokens.firstOrNull()?.let { it.expiresAt > now } ?: true
        return if (isCurrent) this else copy(tokens = tokens.removeAll { it.expiresAt <= now })
    }

    /**
     * Tokens for waiting operations that are neither there nor requested from an owner that may still answer soon.
     * For each owner that is silent, one more is asked at the same time: in a partition, others may be silent too.
     */
    fun missing(now: MonotonicTime, patience: Millis): Int {
        val (recent, overdue) = requests.values.partition { now - it.sentAt < patience }
        val requested = recent.sumOf { it.count } / (1 + overdue.size)
        return waitingCount - tokens.size - requested
    }

    /** The owners that have not answered a request within [patience]. */
    fun silentOwners(now: MonotonicTime, patience: Millis): Set<Endpoint> =
        requests.filterValues { now - it.sentAt >= patience }.keys

    /** Rank by which [owner] is asked, smallest first; [silent] are the owners that were silent for any tenant. */
    fun reluctance(owner: Endpoint, silent: Set<Endpoint>, now: MonotonicTime): Int {
        val pause = pauses[owner]
        return when {
            owner in silent || pause?.failed == true -> 2
            pause != null && pause.tokenExpectedAt > now -> 1
            else -> 0
        }
    }

    /** Takes an operation of the minimum at [now] if fewer than [share] were taken within [window]. */
    fun useMinimum(now: MonotonicTime, window: Millis, share: Int): TenantTokens? {
        val recent = minimumUses.removeAll { now - it >= window }
        return if (recent.size < share) copy(minimumUses = recent.add(now)) else null
    }
}

/** A request to an owner for [count] tokens that it has not answered. */
data class OutstandingRequest(val number: Long, val count: Int, val sentAt: MonotonicTime)

/** An owner is not asked before [until]; it either granted all it had, or it [failed] to answer or may not grant. */
data class OwnerPause(
    val until: MonotonicTime,
    val failed: Boolean,
    /** When the owner expects a token; owners that have some are asked before. */
    val tokenExpectedAt: MonotonicTime = until,
)

/** Smoothed number of events per second, as of [updatedAt]. */
data class EventRate(val perSecond: Double = 0.0, val updatedAt: MonotonicTime? = null) {
    /** The rate at [now]. */
    fun at(now: MonotonicTime): Double {
        val elapsed = updatedAt?.let { maxOf(0L, (now - it).value) } ?: 0L
        return perSecond * exp(-elapsed / DECAY_MILLIS)
    }

    /** The rate after [count] further events at [now]. */
    fun plus(count: Int, now: MonotonicTime): EventRate = EventRate(at(now) + count, now)

    private companion object {
        const val DECAY_MILLIS = 1_000.0
    }
}
