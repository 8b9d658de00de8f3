package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The permits that enforce the connection limits of callers across the fleet. */
data class PermitsState(
    /** Permits that this process has borrowed for its own use. */
    val leases: PersistentMap<CallerName, PermitLease> = persistentMapOf(),
    /** Permits that this process lends as the permit home of callers in its failure domain. */
    val ledgers: PersistentMap<CallerName, PermitLedger> = persistentMapOf(),
    /** When a process that may have lent permits was last lost; this process's own start counts as such a loss. */
    val lastLenderLossAt: MonotonicTime? = null,
    val nextSequence: Long = 1,
) {
    /** Number of permits of [caller] that can be acquired now. */
    fun available(caller: CallerName, now: MonotonicTime): Int = leases[caller]?.available(now) ?: 0

    /** This state with one more permit of [caller] in use. */
    internal fun acquire(caller: CallerName): PermitsState = update(caller) { it.acquire() }

    /** This state with one permit of [caller] less in use. */
    internal fun release(caller: CallerName): PermitsState = update(caller) { it.release() }

    internal fun with(caller: CallerName, lease: PermitLease): PermitsState =
        copy(leases = leases.put(caller, lease))

    internal fun with(caller: CallerName, ledger: PermitLedger): PermitsState =
        copy(ledgers = ledgers.put(caller, ledger))

    private fun update(caller: CallerName, change: (PermitLease) -> PermitLease): PermitsState =
        with(caller, change(leases[caller] ?: PermitLease()))
}
