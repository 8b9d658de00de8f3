package dev.hibiscusreach.runtime.settings

import dev.hibiscusreach.core.reducer.GroupSettings
import dev.hibiscusreach.core.reducer.MembershipSettings
import dev.hibiscusreach.core.reducer.PoolSettings
import dev.hibiscusreach.core.reducer.RequestSettings

/** Reads the timing and limits of the reducer's parts. */
internal object ReducerSettingsReader {
    private const val LARGE_COUNT = 1_000_000
    private const val MAXIMUM_PERCENT = 100
    private const val MAXIMUM_ATTEMPTS = 10
    private val counts = 1..LARGE_COUNT
    private val attempts = 1..MAXIMUM_ATTEMPTS

    fun read(reader: SectionReader): ReducerSettings {
        var settings = ReducerSettings()
        reader.section("membership") { settings = settings.copy(membership = membership(it, MembershipSettings())) }
        reader.section("group") { settings = settings.copy(group = group(it, GroupSettings())) }
        reader.section("pool") { settings = settings.copy(pool = pool(it, PoolSettings())) }
        reader.section("request") { settings = settings.copy(request = request(it, RequestSettings())) }
        return settings
    }

    private fun membership(section: SectionReader, default: MembershipSettings): MembershipSettings {
        val watchers = section.count("watchersPerFailureDomain", default.watchersPerFailureDomain, attempts)
        return MembershipSettings(
            period = section.millis("period", default.period),
            pingTimeout = section.millis("pingTimeout", default.pingTimeout),
            suspicionTimeout = section.millis("suspicionTimeout", default.suspicionTimeout),
            indirectPings = section.count("indirectPings", default.indirectPings, attempts),
            announcementFanOut = section.count("announcementFanOut", default.announcementFanOut, attempts),
            watchersPerFailureDomain = watchers,
            watchWait = section.millis("watchWait", default.watchWait),
            platformTimeout = section.millis("platformTimeout", default.platformTimeout),
            hostListPeriod = section.millis("hostListPeriod", default.hostListPeriod),
            pauseThreshold = section.millis("pauseThreshold", default.pauseThreshold),
        ).also {
            if (it.pingTimeout >= it.period) section.report("pingTimeoutMillis", "must be below periodMillis")
        }
    }

    private fun group(section: SectionReader, default: GroupSettings) =
        GroupSettings(
            probePeriod = section.millis("probePeriod", default.probePeriod),
            probeTimeout = section.millis("probeTimeout", default.probeTimeout),
            suspicionAfter = section.millis("suspicionAfter", default.suspicionAfter),
            sightingWait = section.millis("sightingWait", default.sightingWait),
            proposerStagger = section.millis("proposerStagger", default.proposerStagger),
            fenceWait = section.millis("fenceWait", default.fenceWait),
            failoverTimeout = section.millis("failoverTimeout", default.failoverTimeout),
        )

    private fun pool(section: SectionReader, default: PoolSettings) =
        PoolSettings(
            queueLimit = section.count("queueLimit", default.queueLimit, counts),
            queueWait = section.millis("queueWait", default.queueWait),
            period = section.millis("period", default.period),
            idleProbeAfter = section.millis("idleProbeAfter", default.idleProbeAfter),
            idleProbeTimeout = section.millis("idleProbeTimeout", default.idleProbeTimeout),
            openTimeout = section.millis("openTimeout", default.openTimeout),
            takeoverDelay = section.millis("takeoverDelay", default.takeoverDelay),
            permitLease = section.millis("permitLease", default.permitLease),
            permitMargin = section.millis("permitMargin", default.permitMargin),
            permitRetry = section.millis("permitRetry", default.permitRetry),
            openRetry = section.millis("openRetry", default.openRetry),
        )

    private fun request(section: SectionReader, default: RequestSettings) =
        RequestSettings(
            freshReplicaWait = section.millis("freshReplicaWait", default.freshReplicaWait),
            commandTimeout = section.millis("commandTimeout", default.commandTimeout),
            maximumDeadline = section.millis("maximumDeadline", default.maximumDeadline),
            maximumAttempts = section.count("maximumAttempts", default.maximumAttempts, attempts),
            retryBudgetPercent = section.count("retryBudgetPercent", default.retryBudgetPercent, 0..MAXIMUM_PERCENT),
            retryBudgetBurst = section.count("retryBudgetBurst", default.retryBudgetBurst, 0..LARGE_COUNT),
            requestRetention = section.millis("requestRetention", default.requestRetention),
            clockTolerance = section.millis("clockTolerance", default.clockTolerance),
            transactionIdleLimit = section.millis("transactionIdleLimit", default.transactionIdleLimit),
            transactionLifeLimit = section.millis("transactionLifeLimit", default.transactionLifeLimit),
            maximumInFlight = section.count("maximumInFlight", default.maximumInFlight, counts),
            maximumHops = section.count("maximumHops", default.maximumHops, attempts),
            leavingNotice = section.millis("leavingNotice", default.leavingNotice),
            drainLimit = section.millis("drainLimit", default.drainLimit),
        )
}
