package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.state.RetryCounts
import kotlinx.collections.immutable.toPersistentMap

/**
 * Limits the retries of each group to a share of its recent first attempts, with a small minimum. A statement that a
 * server rejected because of overload did not run, and has used no slot; nor did one whose connection was lost while it
 * was set up. It goes to another server in any case, and leaves less of the budget to the others. Rejections because of
 * the server's role or log are no load; they do not count.
 */
internal object RetryBudget {
    /** Records the first attempt of a statement. */
    fun recordFirst(reduction: Reduction, group: GroupName) {
        if (!ServerLoads.apply(reduction)) return
        update(reduction, group) { it.copy(attempts = it.attempts.plusOne(reduction.now, halfLife(reduction))) }
    }

    /** Whether a statement of [group] may be retried after [failure]. */
    fun spend(reduction: Reduction, group: GroupName, failure: ServerFailure): Boolean {
        val counts = !failure.notRun || failure == ServerFailure.OVERLOADED
        return !counts || spend(reduction, group, notRun = failure.notRun)
    }

    /** Whether a statement of [group] may be retried after its connection was lost; always if it was [notRun]. */
    fun spend(reduction: Reduction, group: GroupName, notRun: Boolean): Boolean {
        if (!ServerLoads.apply(reduction)) return true
        // Retries beyond the budget are not counted, so that it recovers as soon as they end.
        val hasRest = hasRest(reduction, group)
        if (hasRest) {
            update(reduction, group) { it.copy(retries = it.retries.plusOne(reduction.now, halfLife(reduction))) }
        }
        val isAllowed = notRun || hasRest
        if (!isAllowed) reduction.count(SessionCounter.SERVER_SELECTION, "retry-denied")
        return isAllowed
    }

    /** Forgets the groups that are not configured any more. */
    fun removeObsolete(reduction: Reduction) {
        val selection = reduction.state.selection
        val kept = selection.retries.filterKeys { isConfigured(reduction, it) }.toPersistentMap()
        reduction.state = reduction.state.copy(selection = selection.copy(retries = kept))
    }

    private fun isConfigured(reduction: Reduction, group: GroupName): Boolean =
        group in reduction.state.configuration?.groups.orEmpty()

    private fun hasRest(reduction: Reduction, group: GroupName): Boolean {
        val limits = reduction.settings.selection
        val counts = reduction.state.selection.retries[group] ?: RetryCounts()
        val attempts = counts.attempts.at(reduction.now, limits.loadHalfLife)
        val budget = limits.minRetries + attempts * limits.retryPercent / FULL_PERCENT
        return counts.retries.at(reduction.now, limits.loadHalfLife) + 1 <= budget
    }

    private fun halfLife(reduction: Reduction) = reduction.settings.selection.loadHalfLife

    private fun update(reduction: Reduction, group: GroupName, change: (RetryCounts) -> RetryCounts) {
        if (!isConfigured(reduction, group)) return
        val selection = reduction.state.selection
        val retries = selection.retries.put(group, change(selection.retries[group] ?: RetryCounts()))
        reduction.state = reduction.state.copy(selection = selection.copy(retries = retries))
    }
}
