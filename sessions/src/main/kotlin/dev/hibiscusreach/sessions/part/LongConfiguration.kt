package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint

/**
 * Keeps hosts from listing a long configuration all at once. The lists fill the links between regions, so that no read
 * of the store is answered; readers tell only what has changed.
 */
internal object LongConfiguration {
    /** The reader that this proxy asks in place of the store; null for the store itself. */
    fun readerToAsk(reduction: Reduction): Endpoint? =
        when {
            !isLong(reduction) || isTooOld(reduction) || StoreSourceOptions.isReader(reduction) -> null
            else -> StoreSourceOptions.of(reduction).find { it != null && it != reduction.state.fleet.source.peer }
        }

    private fun isLong(reduction: Reduction): Boolean {
        val configuration = reduction.state.configuration ?: return false
        val entries = configuration.routes.size + (configuration.tenants?.tenants?.size ?: 0)
        return entries >= reduction.settings.configuration.longConfigurationEntries
    }

    // The readers may not know more than this proxy.
    private fun isTooOld(reduction: Reduction): Boolean =
        ConfigurationFreshness.age(reduction)?.let { it > reduction.settings.configuration.ageLimit * 2 } ?: true
}
