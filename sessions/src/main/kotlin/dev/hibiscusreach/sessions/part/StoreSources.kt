package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.state.StoreSource

/**
 * Selects where this proxy reads the store's objects. One proxy of each region reads the store itself, the readers of
 * the other failure domains read through it, and the other proxies through the reader of their domain. The calls to the
 * store so grow neither with the fleet nor with its domains. A proxy that cannot read tries the next source; a read
 * through a peer counts from when the peer sent its own.
 */
internal object StoreSources {
    /** Selects the first source after the first read, and returns to the preferred one some time after a failure. */
    fun readSucceeded(reduction: Reduction) {
        val source = reduction.state.fleet.source
        val preferred = StoreSourceOptions.of(reduction).first()
        val settledSince = source.since
        when {
            settledSince == null -> select(reduction, preferred, failures = 0)
            source.peer == preferred && source.promptly == isPrompt(reduction, preferred) -> update(
                reduction,
                source.copy(failures = 0)
            )
            source.failures == 0 || reduction.now - settledSince >= reduction.settings.leases.sourceReturnDelay ->
                select(reduction, preferred, failures = 0)
        }
    }

    /** Selects the next source after a failed read, unless the current one was selected just before. */
    fun readFailed(reduction: Reduction) {
        val source = reduction.state.fleet.source
        val since = source.since ?: return
        if (reduction.now - since < reduction.settings.leases.sourceTrial) return
        val options = StoreSourceOptions.of(reduction)
        val failures = source.failures + 1
        // A source that is gone has left the options, so that the first of them has not been tried.
        val next = if (source.peer in options) options[failures % options.size] else options.first()
        select(reduction, next, failures)
    }

    /** Selects the next source if the reads of the current one no longer renew the lease. */
    fun review(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val since = fleet.source.since ?: return
        val limit = reduction.settings.leases.staleReadTimeout
        val readAt = fleet.readSentAt ?: return
        if (reduction.now - readAt > limit && reduction.now - since > limit) readFailed(reduction)
    }

    private fun select(reduction: Reduction, peer: Endpoint?, failures: Int) {
        val previous = reduction.state.fleet.source
        val promptly = isPrompt(reduction, peer)
        update(reduction, StoreSource(peer, since = reduction.now, failures = failures, promptly = promptly))
        if (previous.since != null && previous.peer == peer && previous.promptly == promptly) return
        reduction.log("store source selected", "source" to (peer ?: "store"), "failures" to failures)
        reduction.emit(SessionEffect.SelectStoreSource(peer, promptly))
    }

    // A reader reads the store itself when its source fails. The others wait for their reader to do so.
    private fun isPrompt(reduction: Reduction, peer: Endpoint?): Boolean =
        peer != null && StoreSourceOptions.isReader(reduction)

    private fun update(reduction: Reduction, source: StoreSource) {
        reduction.state = reduction.state.copy(fleet = reduction.state.fleet.copy(source = source))
    }
}
