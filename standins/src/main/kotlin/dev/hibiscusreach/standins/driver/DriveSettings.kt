package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.model.Endpoint

/** Where one proxy listens. */
internal data class ProxyTarget(val callers: Endpoint, val operations: Endpoint? = null)

/** What a run of the driver does. */
internal data class DriveSettings(
    val proxies: List<ProxyTarget>,
    val database: String,
    val caller: String,
    val sessions: Int,
    val durationMillis: Long,
    /** Operations a second of all sessions together; 0 lets every session send its next request at once. */
    val ratePerSecond: Int = 0,
    val readPercent: Int,
    /** Share of requests for which a session moves to another proxy. */
    val roamPercent: Int,
    val maximumAgeMillis: Long? = null,
    val deadlineMillis: Long,
    /** Time for which a refused or broken request is sent again. */
    val retryForMillis: Long,
    /** Prefix of all keys and request identifiers, different for every run. */
    val run: String,
)
