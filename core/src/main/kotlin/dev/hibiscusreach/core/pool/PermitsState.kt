package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The permits with which the connection limits of callers are kept over the whole fleet. */
data class PermitsState(
    /** What this process has borrowed for its own use. */
    val accounts: PersistentMap<CallerName, PermitAccount> = persistentMapOf(),
    /** What this process lends as the permit home of callers in its failure domain. */
    val books: PersistentMap<CallerName, PermitBook> = persistentMapOf(),
    /** When a process that may have lent permits was last lost; this process's own start counts as such a loss. */
    val lossAt: MonotonicTime? = null,
    val nextSequence: Long = 1,
) {
    /** Permits of [caller] that can be taken now. */
    fun free(caller: CallerName, now: MonotonicTime): Int = accounts[caller]?.free(now) ?: 0

    /** One permit of [caller] is in use from now on. */
    internal fun taken(caller: CallerName): PermitsState = update(caller) { it.taken() }

    /** One permit of [caller] is not in use any more. */
    internal fun returned(caller: CallerName): PermitsState = update(caller) { it.returned() }

    internal fun with(caller: CallerName, account: PermitAccount): PermitsState =
        copy(accounts = accounts.put(caller, account))

    internal fun with(caller: CallerName, book: PermitBook): PermitsState = copy(books = books.put(caller, book))

    private fun update(caller: CallerName, change: (PermitAccount) -> PermitAccount): PermitsState =
        with(caller, change(accounts[caller] ?: PermitAccount()))
}
