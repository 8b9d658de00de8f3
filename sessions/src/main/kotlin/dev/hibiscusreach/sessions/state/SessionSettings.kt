package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.sessions.model.ProxyIdentity

/** Identity and location of this proxy. */
data class LocalProxy(
    val identity: ProxyIdentity,
    val peerEndpoint: Endpoint,
    val failureDomain: FailureDomainName,
    val regions: Map<FailureDomainName, RegionName>,
)

/** Timeouts, periods and limits of the reducer. */
data class SessionSettings(
    val configuration: ConfigurationSettings = ConfigurationSettings(),
    val statements: StatementSettings = StatementSettings(),
    val connections: ConnectionSettings = ConnectionSettings(),
    val selection: SelectionSettings = SelectionSettings(),
    val tenantPools: TenantPoolSettings = TenantPoolSettings(),
    val leases: LeaseSettings = LeaseSettings(),
    val changes: PrimaryChangeSettings = PrimaryChangeSettings(),
    val homes: HomeSettings = HomeSettings(),
    val drain: DrainSettings = DrainSettings(),
    val tenants: TenantSettings = TenantSettings(),
    val kept: KeptSettings = KeptSettings(),
)

/** Limits on the age of what is known of the configuration, so that a version is in force within 3 s. */
data class ConfigurationSettings(
    /** Age above which the store itself is asked; what a peer tells is up to two watches and a pause old. */
    val ageLimit: Millis = 2400.milliseconds,
    /** Pause before the store is asked again; longer than the time allowed for its answer. */
    val verificationPause: Millis = 1.seconds,
    /** The pause is at least this long for each registered host, so that all hosts make 1,000 calls a second. */
    val verificationPausePerHost: Millis = 2.milliseconds,
    /** Routes and tenants from which on a configuration is long, about 64 KiB; hosts then ask another reader first. */
    val longConfigurationEntries: Int = 400,
)

/** Limits on statements. */
data class StatementSettings(
    /** Period of the deadline checks; half of the shortest pause before a retry. */
    val checkPeriod: Millis = 25.milliseconds,
    /** How long a session waits for the first configuration; half of the time that callers wait for a session. */
    val configurationWait: Millis = 1.seconds,
    /** Maximum attempts of a statement that is known not to have run, or that only reads. */
    val maxAttempts: Int = 4,
    /** Pause before a retry at the same overloaded server; about the duration of one statement. */
    val retryPause: Millis = 50.milliseconds,
    /** A server without an answer for this long is silent; longer than the slowest statement on a healthy server. */
    val silenceTimeout: Millis = 800.milliseconds,
    /** Share of the latency objective, in percent, that a statement may wait for a connection. */
    val maxWaitPercent: Int = 50,
    /** Pause between two reads of the configuration after peers have shown a newer version; a few store calls. */
    val configurationRefreshPause: Millis = 50.milliseconds,
    /** Retry advice when no primary is available; about the duration of a change of primary. */
    val noPrimaryRetryAfter: Millis = 500.milliseconds,
    /** Retry advice under overload; the duration of a few statements. */
    val overloadRetryAfter: Millis = 200.milliseconds,
)

/** Limits on connections to servers. */
data class ConnectionSettings(
    /** Share of a server's connection limit, in percent, that all proxies together use for sessions. */
    val sharePercent: Int = 85,
    /**
     * All connections of a server but one are closed after being idle for this long. A server keeps connections of
     * hosts that lost power for seconds, so spare connections would use up the limit that restarted hosts need.
     */
    val idleTimeout: Millis = 1500.milliseconds,
    /**
     * A connection that no session holds is closed when a statement on it is unanswered for this long. The statements
     * of sessions have the time limits of their routes.
     */
    val answerTimeout: Millis = 5.seconds,
    /** Pause after a server has refused a connection because of its connection limit. */
    val connectionLimitPause: Millis = 250.milliseconds,
    /** Pause after the first failed connection; doubles with each further failure up to [maxBackoff]. */
    val initialBackoff: Millis = 200.milliseconds,
    val maxBackoff: Millis = 1600.milliseconds,
    /** Pause before reads go again to a replica that lacked a position; several times the usual replication lag. */
    val laggingReplicaPause: Millis = 200.milliseconds,
    /** A leaving server gets no work after this long, also if its successor has not been promoted yet. */
    val leavingWorkLimit: Millis = 5.seconds,
    /** A server is removed when its entry is missing for longer; entries return within two seconds of an outage. */
    val missingEntryTimeout: Millis = 3.seconds,
    /** Extra cost of a server in another failure domain or region, in milliseconds of latency. */
    val domainPenalty: Millis = 15.milliseconds,
    val regionPenalty: Millis = 60.milliseconds,
    /** Assumed duration of a statement at a server that has not answered one yet. */
    val expectedLatency: Millis = 30.milliseconds,
)

/** The lease that allows a proxy to use primaries. */
data class LeaseSettings(
    /** Validity of the lease after a read of the fleet records; longer than the usual outages of the store. */
    val duration: Millis = 10.seconds,
    /** Age of the latest read above which another source is tried; well below [duration]. */
    val staleReadTimeout: Millis = 5.seconds,
    /** Time for which a newly selected source is tried before the next one. */
    val sourceTrial: Millis = 300.milliseconds,
    /** Time after which a proxy returns to its preferred source of reads. */
    val sourceReturnDelay: Millis = 3.seconds,
    /** Period of the pings, which go to one peer at a time. */
    val pingPeriod: Millis = 1000.milliseconds,
    /** Number of peers that a proxy pings, so that the cost and the time to detect do not grow with the fleet. */
    val pingedPeers: Int = 8,
    /** Delay before each further proxy that pings an unresponsive peer expels it, so that usually only one does. */
    val expulsionRankDelay: Millis = 500.milliseconds,
    /** A peer is expelled after missing pings for this long; longer than most partitions between proxies. */
    val expulsionTimeout: Millis = 6.seconds,
    /** Consecutive pings that a peer misses before it is expelled. */
    val missedPings: Int = 2,
    /** Pause before the record of the settled era is written again, since the answer to the write may be lost. */
    val eraRecordPause: Millis = 2.seconds,
    /** Remaining validity of the lease that a write needs; longer than writes take under load. */
    val writeMargin: Millis = 500.milliseconds,
)

/** The homes of groups, which hold the connections to servers on behalf of the other proxies. */
data class HomeSettings(
    /** Homes of each group in each failure domain; a second one serves at once when the first one fails. */
    val homesPerDomain: Int = 2,
    /** A home that no longer ranks among the first keeps serving for this long, until the others know its successor. */
    val retirementDelay: Millis = 3.seconds,
    /** A home that failed or refused a statement is avoided for this long. */
    val avoidance: Millis = 500.milliseconds,
    /** Pause before a statement that no home serves is offered to the homes again. */
    val retryPause: Millis = 50.milliseconds,
    /** Time beyond the statement timeout that a home's answer may take; covers the way between regions. */
    val answerMargin: Millis = 200.milliseconds,
    /**
     * Encoded bytes of a statement, with the values of its session, up to which it is forwarded. A frame of a link has
     * at most 4 MiB; 64 KiB are left for the route and the names.
     */
    val forwardLimitBytes: Int = FORWARD_LIMIT_BYTES,
    /** Time after which an unanswered write of the own record is repeated. */
    val recordTimeout: Millis = 2.seconds,
    /** Homes of a group that probe its primary on schedule; the others ask them for the position of its log. */
    val probers: Int = 3,
    /** Up to this number of homes all of them probe, since asking each other would save little. */
    val homesThatAllProbe: Int = 6,
    /** Pause between two requests to a prober; half the period of probes. */
    val positionRequestPause: Millis = 250.milliseconds,
    /** Time for the answer to a probe that a peer's question has caused; within the time that the peer waits. */
    val sightingProbeTimeout: Millis = 200.milliseconds,
) {
    private companion object {
        const val FORWARD_LIMIT_BYTES = (4 shl 20) - (64 shl 10)
    }
}

/** Limits on changes of primaries. */
data class PrimaryChangeSettings(
    /** Period of the checks of groups. */
    val checkPeriod: Millis = 100.milliseconds,
    /** A primary's log position is requested again after this long, so that replicas can serve bounded reads. */
    val probePeriod: Millis = 500.milliseconds,
    /** A primary without an answer for this long is suspected to have failed. */
    val suspicionTimeout: Millis = 1200.milliseconds,
    /** A primary whose host refuses connections is suspected after this long without an answer. */
    val refusedSuspicionTimeout: Millis = 300.milliseconds,
    /** Time for peers to report when the primary last answered them. */
    val sightingTimeout: Millis = 350.milliseconds,
    /** Maximum age of a primary's last answer to a peer that counts as reaching the primary. */
    val sightingMaxAge: Millis = 800.milliseconds,
    /** Delay for each proxy that ranks before this one, so that usually only one proxy acts. */
    val rankDelay: Millis = 200.milliseconds,
    /**
     * After a restoration of the store, time for other proxies to write back a group's record; covers an outage of
     * their reads through a peer.
     */
    val restorationGrace: Millis = 2.seconds,
    /**
     * While no server may be promoted, a planned change waits until the primary has been leaving for this long, because
     * it is not used during the change. Below the time for which a leaving server gets work.
     */
    val plannedChangeDelay: Millis = 4.seconds,
    /** Pause between two attempts to change a primary. */
    val retryPause: Millis = 1000.milliseconds,
    /** Time for statements in flight to finish when a primary is replaced because of a failure. */
    val failureGrace: Millis = 100.milliseconds,
    /** Time for transactions in flight to finish in a planned change of primary. */
    val plannedGrace: Millis = 500.milliseconds,
    /** Period at which fence requests and status requests are repeated. */
    val requestPeriod: Millis = 300.milliseconds,
    /** Time for servers to report their status before the most advanced one is chosen. */
    val statusTimeout: Millis = 600.milliseconds,
    /**
     * Time after which a successor is accepted that may lack acknowledged commits; well above the time after which a
     * crashed primary usually returns with its log.
     */
    val incompleteSuccessorDelay: Millis = 20.seconds,
    /** Time for a successor to receive the whole log in a planned change. */
    val catchUpTimeout: Millis = 2.seconds,
    /** Age of the promoter lock up to which its holder requests a promotion. */
    val promoterLockUse: Millis = 3.seconds,
    /** Age of the promoter lock after which another proxy may take it over; well above [promoterLockUse]. */
    val promoterLockTakeover: Millis = 5.seconds,
    /** Time after which a promotion request without effect is repeated. */
    val promotionTimeout: Millis = 2500.milliseconds,
    /** Time after which another proxy continues a change that makes no progress. */
    val takeoverTimeout: Millis = 5.seconds,
    /** Time after which a change is taken over even if the proxy that began it answers; above every wait in it. */
    val changeTimeout: Millis = 25.seconds,
    /** Time after which the proxy that is replacing a primary is asked whether it still runs. */
    val takeoverCheckDelay: Millis = 1500.milliseconds,
)

/** Phases of a graceful shutdown; times count from the request to stop unless stated otherwise. */
data class DrainSettings(
    /** Idle sessions are closed after this long, which leaves the load balancer time to notice the shutdown. */
    val closeIdleAfter: Millis = 2300.milliseconds,
    /**
     * A session counts as idle after this long without a statement. Longer than a round trip to a caller, whose next
     * statement would otherwise meet the closed connection.
     */
    val idleTime: Millis = 250.milliseconds,
    /** The process exits no earlier than this after it stopped listening, so that sessions accepted last are served. */
    val exitDelay: Millis = 200.milliseconds,
    /** Open transactions are ended after this long. */
    val endTransactionsAfter: Millis = 3500.milliseconds,
    /**
     * Statements and sessions that arrive after this long are refused, so that what was accepted before is answered by
     * the exit. Longer before [exitAfter] than most statements take.
     */
    val refuseAfter: Millis = 3500.milliseconds,
    /** The process exits after this long at the latest. */
    val exitAfter: Millis = 5300.milliseconds,
)

/** Limits on what sessions keep between statements: their values and prepared statements. */
data class KeptSettings(
    /** Number of values, and of prepared statements, of a session. */
    val perSession: Int = 1_000,
    /** Bytes of a session; two messages of the maximum length. */
    val bytesPerSession: Int = 2 * MEBIBYTE,
    /** Bytes of all sessions together; a session may have [FREE_BYTES] also beyond it. */
    val bytes: Long = Long.MAX_VALUE,
    /**
     * Share of [bytes], in percent, above which a session gets no more while half of [bytes] is in use; at least half
     * of [bytesPerSession].
     */
    val sharePercent: Int = 12,
    /** The same for all sessions from one address, while others keep bytes, or above 75% while there are others. */
    val originSharePercent: Int = 50,
    /** Bytes of prepared statements of one server connection; it is reset beyond them. */
    val bytesPerConnection: Int = PREPARED_BYTES,
) {
    companion object {
        /** What a session may keep in any case; enough for the values of an ordinary program. */
        const val FREE_BYTES = 1 shl 10
        private const val PREPARED_BYTES = 128 shl 10
        private const val MEBIBYTE = 1 shl 20
    }
}
