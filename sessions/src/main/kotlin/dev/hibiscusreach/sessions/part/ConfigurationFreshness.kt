package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.state.ConfigurationFault

/**
 * Limits the age of what is known of the configuration. The source of reads may be a peer that has lost the store, or
 * a watch that has gone silent, so a proxy that nobody has told lately that its version is the newest asks the store.
 */
internal object ConfigurationFreshness {
    /** Records a completed read. A read through a peer may be older than the latest direct one. */
    fun confirmed(reduction: Reduction, event: SessionEvent.ConfigurationConfirmed) {
        val known = reduction.state.configurationConfirmedAt
        reduction.state = reduction.state.copy(configurationConfirmedAt = maxOf(event.readAt, known ?: event.readAt))
        val fault = reduction.state.configurationFault
        if (fault != null && event.readAt >= fault.since) endFault(reduction, fault)
    }

    /** Records that the store has answered with something that cannot be used. */
    fun unusable(reduction: Reduction, event: SessionEvent.ConfigurationUnusable) {
        if (reduction.state.configurationFault != null) return
        val fault = ConfigurationFault(event.reason, since = reduction.now)
        reduction.state = reduction.state.copy(configurationFault = fault)
        reduction.log(
            "configuration cannot be followed",
            "reason" to event.reason,
            "inForce" to reduction.state.configuration?.version,
            "sinceConfirmedMillis" to age(reduction)?.value,
            level = LogLevel.ERROR,
        )
    }

    private fun endFault(reduction: Reduction, fault: ConfigurationFault) {
        reduction.state = reduction.state.copy(configurationFault = null)
        reduction.log(
            "configuration followed again",
            "version" to reduction.state.configuration?.version,
            "millis" to (reduction.now - fault.since).value,
        )
    }

    /** Age of what is known of the configuration; null before the first read. */
    fun age(reduction: Reduction): Millis? =
        reduction.state.configurationConfirmedAt?.let { reduction.now - it }

    /**
     * Whether a key may have been revoked without this proxy's knowledge for longer than the settings allow. A
     * configuration without a confirmation has just been read; its confirmation follows.
     */
    fun mayMissRevocation(reduction: Reduction): Boolean {
        val settings = reduction.settings.tenants
        val age = age(reduction) ?: return false
        return settings.strictRevocation && age >= settings.revocationLimit
    }

    /** Reads the configuration from the store itself, beside the reads that go on, while it is too old. */
    fun review(reduction: Reduction) {
        val age = age(reduction)
        val isOld = age == null || age > ageLimit(reduction)
        if (isOld && !isVerifiedLately(reduction)) verify(reduction)
    }

    // The store is asked early enough for its answer to come before keys count as unconfirmed.
    private fun ageLimit(reduction: Reduction): Millis {
        val limit = reduction.settings.configuration.ageLimit
        val tenants = reduction.settings.tenants
        val isStrict = tenants.strictRevocation && reduction.state.configuration?.tenants != null
        return if (isStrict) minOf(limit, Millis(tenants.revocationLimit.value / 2)) else limit
    }

    // The first review follows the start of the first read.
    private fun isVerifiedLately(reduction: Reduction): Boolean {
        val verifiedAt = reduction.state.configurationVerifiedAt
        if (verifiedAt == null) reduction.state = reduction.state.copy(configurationVerifiedAt = reduction.now)
        return verifiedAt == null || reduction.now - verifiedAt < pause(reduction)
    }

    // All hosts ask in an outage of the store, whose rate of calls does not grow with the fleet. The first read has
    // longer, since a reader may still be reading a long configuration itself.
    private fun pause(reduction: Reduction): Millis {
        val settings = reduction.settings.configuration
        val hosts = reduction.state.fleet.members.size
        val awaitsFirstRead = age(reduction) == null && reduction.state.fleet.source.since != null
        val shortest = if (awaitsFirstRead) settings.ageLimit else settings.verificationPause
        return maxOf(shortest, Millis(hosts * settings.verificationPausePerHost.value))
    }

    private fun verify(reduction: Reduction) {
        val reader = LongConfiguration.readerToAsk(reduction)
        reduction.state = reduction.state.copy(configurationVerifiedAt = reduction.now)
        reduction.log(
            "configuration verified",
            "inForce" to reduction.state.configuration?.version,
            "sinceConfirmedMillis" to age(reduction)?.value,
            "source" to (reduction.state.fleet.source.peer ?: "store"),
            "at" to (reader ?: "store"),
        )
        // The servers are read from the same source, so what is known of them may be as old. They are asked for first,
        // because a configuration may take long on a slow link.
        reduction.emit(SessionEffect.ReadServers)
        reduction.emit(reader?.let(SessionEffect::ConfirmConfiguration) ?: SessionEffect.VerifyConfiguration)
    }
}
