package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.state.StoreSource

/**
 * Selects where this proxy reads the store's objects. One proxy of each failure domain, the reader, reads the store
 * itself, and the others read through it, so that the calls to the store do not grow with the fleet. A proxy that
 * cannot read tries the next source; a read through a peer counts from when the peer sent its own.
 */
internal object StoreSources {
    /** Selects the first source after the first read, and returns to the preferred one some time after a failure. */
    fun readSucceeded(reduction: Reduction) {
        val source = reduction.state.fleet.source
        val preferred = StoreSourceOptions.of(reduction).first()
        val settledSince = source.since
        when {
            settledSince == null -> select(reduction, preferred, failures = 0)
            source.peer == preferred -> update(reduction, source.copy(failures = 0))
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
        select(reduction, options[failures % options.size], failures)
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
        update(reduction, StoreSource(peer, since = reduction.now, failures = failures))
        if (previous.since != null && previous.peer == peer) return
        reduction.log("store source selected", "source" to (peer ?: "store"), "failures" to failures)
        reduction.emit(SessionEffect.SelectStoreSource(peer))
    }

    private fun update(reduction: Reduction, source: StoreSource) {
        reduction.state = reduction.state.copy(fleet = reduction.state.fleet.copy(source = source))
    }
}
