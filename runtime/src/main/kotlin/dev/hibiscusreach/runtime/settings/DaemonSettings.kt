package dev.hibiscusreach.runtime.settings

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.GroupSettings
import dev.hibiscusreach.core.reducer.MembershipSettings
import dev.hibiscusreach.core.reducer.PoolSettings
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.RequestSettings
import dev.hibiscusreach.runtime.caller.CallerLimits

/** Format of log lines. */
enum class LogFormat { TEXT, JSON }

/** Least severe level of log lines that are written. */
enum class LogThreshold { ERROR, WARN, INFO, DEBUG }

/** The whole settings of one process. */
data class DaemonSettings(
    val failureDomain: FailureDomainName,
    val addresses: AddressSettings,
    /** Key of the session tokens' signatures. The same on all hosts. */
    val tokenKey: TokenKey,
    val log: LogSettings = LogSettings(),
    val callerLimits: CallerLimits = CallerLimits(),
    val reducer: ReducerSettings = ReducerSettings(),
) {
    /** The settings for the reducer of the process with identity [self]. */
    fun proxySettings(self: NodeIdentity): ProxySettings =
        ProxySettings(
            self = self,
            failureDomain = failureDomain,
            seeds = addresses.seeds,
            membership = reducer.membership,
            group = reducer.group,
            pool = reducer.pool,
            request = reducer.request,
        )
}

/** Addresses to listen at and to connect to. */
data class AddressSettings(
    val caller: Endpoint,
    val operations: Endpoint,
    /** Also the address by which other proxies know this one. */
    val peer: Endpoint,
    val platform: List<Endpoint>,
    val seeds: List<Endpoint> = emptyList(),
)

/** Format and threshold of the log. */
data class LogSettings(val format: LogFormat = LogFormat.TEXT, val threshold: LogThreshold = LogThreshold.INFO)

/** Timeouts, periods and limits of the reducer parts. */
data class ReducerSettings(
    val membership: MembershipSettings = MembershipSettings(),
    val group: GroupSettings = GroupSettings(),
    val pool: PoolSettings = PoolSettings(),
    val request: RequestSettings = RequestSettings(),
)

/** A key that is not shown in logs. */
class TokenKey(val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is TokenKey && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "TokenKey"
}
