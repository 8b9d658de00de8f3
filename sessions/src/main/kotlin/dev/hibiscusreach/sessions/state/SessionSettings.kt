package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.inSeconds
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.sessions.model.ProxyIdentity

/** Where this proxy runs. */
data class LocalProxy(
    val identity: ProxyIdentity,
    val peerEndpoint: Endpoint,
    val failureDomain: FailureDomainName,
    val regions: Map<FailureDomainName, RegionName>,
)

/** Limits and periods of the decisions on sessions. */
data class SessionSettings(
    val statements: StatementSettings = StatementSettings(),
    val connections: ConnectionSettings = ConnectionSettings(),
    val leases: LeaseSettings = LeaseSettings(),
    val changes: PrimaryChangeSettings = PrimaryChangeSettings(),
    val drain: DrainSettings = DrainSettings(),
)

/** Limits on statements. */
data class StatementSettings(
    /** Period of the deadline checks; half of the shortest pause before a retry. */
    val checkPeriod: Millis = 25.milliseconds,
    /** Time that a session waits for the first configuration; half of the time that callers wait for a session. */
    val configurationWait: Millis = 1.inSeconds,
    /** Tries of a statement that is known not to have run, or that only reads. */
    val maxAttempts: Int = 4,
    /** Pause before a statement goes to the same overloaded server again; about one statement's work. */
    val retryPause: Millis = 50.milliseconds,
    /** A server that answers nothing for this long is silent; above the slowest statement on a healthy server. */
    val silenceTimeout: Millis = 800.milliseconds,
    /** Part of the latency objective, in percent, that a statement may wait for a connection. */
    val maxWaitPercent: Int = 50,
    /** Retry advice when no primary is in office; about the time that a change of primary takes. */
    val noPrimaryRetryAfter: Millis = 500.milliseconds,
    /** Retry advice under overload; a few statements' work. */
    val overloadRetryAfter: Millis = 200.milliseconds,
)

/** Limits on connections to servers. */
data class ConnectionSettings(
    /** Part of a server's connection limit, in percent, that all proxies together keep open for sessions. */
    val sharePercent: Int = 85,
    /**
     * Connections beside the last one of a server are closed after this long without use. A server keeps connections
     * to hosts that lost power for seconds, so spare ones would shut the restarted hosts out.
     */
    val idleTimeout: Millis = 1500.milliseconds,
    /** Pause after a server at its connection limit refused one. */
    val connectionLimitPause: Millis = 250.milliseconds,
    /** First pause after a failed connection; doubles up to [maxBackoff]. */
    val initialBackoff: Millis = 200.milliseconds,
    val maxBackoff: Millis = 1600.milliseconds,
    /** A replica that lacked a position is not asked for it again for this long; several times its usual lag. */
    val laggingReplicaPause: Millis = 200.milliseconds,
    /** A server whose entry is missing for longer is gone; entries return within two seconds of an outage. */
    val missingEntryTimeout: Millis = 3.inSeconds,
    /** Extra cost of a server in another failure domain or region, in milliseconds of latency. */
    val domainPenalty: Millis = 15.milliseconds,
    val regionPenalty: Millis = 60.milliseconds,
    /** Expected duration of a statement at a server that has not answered one yet. */
    val expectedLatency: Millis = 30.milliseconds,
)

/** The lease that allows a proxy to use primaries. */
data class LeaseSettings(
    /** Validity of a read of the fleet records; longer than the usual outages of the store. */
    val duration: Millis = 10.inSeconds,
    /** Period of the reads. */
    val renewalPeriod: Millis = 2500.milliseconds,
    /** Pause after a failed read. */
    val retryPause: Millis = 500.milliseconds,
    /** Period in which one peer is pinged. */
    val pingPeriod: Millis = 1000.milliseconds,
    /** A peer that is silent for this long is expelled; longer than short pauses of a process. */
    val expulsionTimeout: Millis = 3.inSeconds,
    /** Pings in a row that a peer misses before it is expelled. */
    val missedPings: Int = 2,
    /** Validity that must be left when a write is sent; longer than writes take under load. */
    val writeMargin: Millis = 500.milliseconds,
)

/** Limits on changes of primaries. */
data class PrimaryChangeSettings(
    /** Period of the reviews of groups. */
    val checkPeriod: Millis = 100.milliseconds,
    /** A primary's position is asked for again after this long, so that replicas serve bounded reads. */
    val probePeriod: Millis = 500.milliseconds,
    /** A primary without an answer for this long is suspected. */
    val suspicionTimeout: Millis = 1200.milliseconds,
    /** A primary whose host refuses connections is suspected after this long without an answer. */
    val refusedSuspicionTimeout: Millis = 300.milliseconds,
    /** Time for peers to report their sightings of a primary. */
    val sightingTimeout: Millis = 350.milliseconds,
    /** A sighting is recent if it is younger than this. */
    val sightingMaxAge: Millis = 800.milliseconds,
    /** Delay for each proxy that precedes this one, so that one proxy usually acts. */
    val rankDelay: Millis = 200.milliseconds,
    /** Pause after a change that was not carried out. */
    val retryPause: Millis = 1000.milliseconds,
    /** Time for statements in flight when a primary is replaced because of a failure. */
    val failureGrace: Millis = 100.milliseconds,
    /** Time for transactions in flight when a primary is replaced as planned. */
    val plannedGrace: Millis = 500.milliseconds,
    /** Time between repetitions of fence requests and status requests. */
    val requestPeriod: Millis = 300.milliseconds,
    /** Time for servers to report their status before the most advanced one is chosen. */
    val statusTimeout: Millis = 600.milliseconds,
    /**
     * Time after which a successor is taken that may lack acknowledged commits; well above the time in which a crashed
     * primary usually returns with its log.
     */
    val incompleteSuccessorDelay: Millis = 20.inSeconds,
    /** Time for a successor to receive the whole log in a planned change. */
    val catchUpTimeout: Millis = 2.inSeconds,
    /** Age up to which the right to promote is used after it was acquired. */
    val promoterLockUse: Millis = 3.inSeconds,
    /** Age after which another proxy takes the right to promote over; well above [promoterLockUse]. */
    val promoterLockTakeover: Millis = 5.inSeconds,
    /** Time after which an order to promote without an effect is repeated. */
    val promotionTimeout: Millis = 2500.milliseconds,
    /** Time after which another proxy continues a change that makes no progress. */
    val takeoverTimeout: Millis = 5.inSeconds,
    /** Time after which the proxy that changes a primary is asked whether it still runs. */
    val takeoverCheckDelay: Millis = 1500.milliseconds,
)

/** Phases of a graceful shutdown, counted from the request to stop. */
data class DrainSettings(
    /** Idle sessions are closed after this long, when the load balancer has noticed. */
    val closeIdleAfter: Millis = 2300.milliseconds,
    /** The process ends this long after it stopped listening, so that sessions accepted last are served. */
    val exitDelay: Millis = 200.milliseconds,
    /** Open transactions are ended after this long. */
    val endTransactionsAfter: Millis = 3500.milliseconds,
    /** The process ends after this long at the latest. */
    val exitAfter: Millis = 5300.milliseconds,
)
