package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a peer in a node's membership view. */
@Serializable
enum class PeerCondition { ALIVE, SUSPECTED, DRAINING, GONE }

/** One entry of the membership gossip. */
@Serializable
data class PeerUpdate(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val condition: PeerCondition,
    /** Counter that the node itself increments to refute a suspicion. */
    val refutation: Int = 0,
)

/** Connection permits that a permit home has lent to [borrower], as handed over to the next permit home. */
@Serializable
data class PermitLoan(val borrower: NodeIdentity, val sequence: Long, val count: Int, val remainingMillis: Long)

/** A message between two proxies. */
@Serializable
sealed interface PeerMessage {
    /** Asks the receiver for an [Acknowledgement]. */
    @Serializable
    @SerialName("ping")
    data class Ping(
        val sequence: Long,
        val updates: List<PeerUpdate>,
        val generation: Long,
        /** Set for an indirect ping: the node that requested it and to which the acknowledgement is relayed. */
        val onBehalfOf: NodeIdentity? = null,
        /** Set while the sender has no membership view; the acknowledgement then has the receiver's complete view. */
        val wantsView: Boolean = false,
    ) : PeerMessage

    /** Answers a [Ping]. */
    @Serializable
    @SerialName("acknowledgement")
    data class Acknowledgement(
        val sequence: Long,
        val updates: List<PeerUpdate>,
        val generation: Long,
        /** The node that was pinged, if the acknowledgement was relayed. */
        val target: NodeIdentity? = null,
    ) : PeerMessage

    /** Asks the receiver to ping [target] and to relay the acknowledgement. */
    @Serializable
    @SerialName("indirectPing")
    data class IndirectPing(val sequence: Long, val target: NodeIdentity) : PeerMessage

    /** Tells peers of the failure domain which hosts the platform's host list marks as leaving. */
    @Serializable
    @SerialName("leavingHostsReported")
    data class LeavingHostsReported(val servers: Set<ServerName>, val proxies: Set<Endpoint>) : PeerMessage

    /** Announces that the sender has the configuration of [generation]. */
    @Serializable
    @SerialName("configurationAnnounced")
    data class ConfigurationAnnounced(val generation: Long) : PeerMessage

    /** Asks for the receiver's configuration if it is above [haveGeneration]. */
    @Serializable
    @SerialName("configurationRequested")
    data class ConfigurationRequested(val haveGeneration: Long) : PeerMessage

    /** The sender's complete configuration, or one page of it if it is too large for one message. */
    @Serializable
    @SerialName("configurationDelivered")
    data class ConfigurationDelivered(
        val configuration: Configuration,
        val recentChanges: List<String> = emptyList(),
        /** Number of this page, from 0. */
        val page: Int = 0,
        val pages: Int = 1,
    ) : PeerMessage

    /** The changes from the generation that the receiver has to the sender's. */
    @Serializable
    @SerialName("configurationChangesDelivered")
    data class ConfigurationChangesDelivered(
        val changes: List<ConfigurationChange>,
        val recentChanges: List<String> = emptyList(),
    ) : PeerMessage

    /** Asks a process that monitors [database] whether it can reach the primary of [term]. */
    @Serializable
    @SerialName("sightingRequested")
    data class SightingRequested(val database: DatabaseName, val term: Term) : PeerMessage

    /** Answers [SightingRequested]. */
    @Serializable
    @SerialName("sightingReported")
    data class SightingReported(val database: DatabaseName, val term: Term, val seen: Boolean) : PeerMessage

    /** Announces the promoted primary of [term]. */
    @Serializable
    @SerialName("groupAnnounced")
    data class GroupAnnounced(val database: DatabaseName, val term: Term, val primary: ServerName) : PeerMessage

    /** A caller's request that the receiver should execute. */
    @Serializable
    @SerialName("forwardedRequest")
    data class ForwardedRequest(
        val arrival: ArrivalNumber,
        /** Number of nodes that have forwarded the request; limited to prevent forwarding loops. */
        val hops: Int,
        val request: CallerRequest,
    ) : PeerMessage

    /** Answers a [ForwardedRequest]; [arrival] is the number from that request. */
    @Serializable
    @SerialName("forwardedAnswer")
    data class ForwardedAnswer(val arrival: ArrivalNumber, val answer: CallerAnswer) : PeerMessage

    /** Asks which connections of [database]'s share the receiver still holds, because the sender is the new home. */
    @Serializable
    @SerialName("sharesRequested")
    data class SharesRequested(val database: DatabaseName) : PeerMessage

    /** The connections that the sender still holds as an earlier home of [database]. It opens no more. */
    @Serializable
    @SerialName("sharesRemaining")
    data class SharesRemaining(val database: DatabaseName, val connections: Map<ServerName, Int>) : PeerMessage

    /**
     * Asks for a lease of [count] connection permits of [caller], in place of the sender's earlier lease. A sender that
     * asks for fewer than it has already uses no more than [count].
     */
    @Serializable
    @SerialName("permitsRequested")
    data class PermitsRequested(val sequence: Long, val caller: CallerName, val count: Int) : PeerMessage

    /** Grants a lease of permits that starts at the request; [count] may be lower than requested, also 0. */
    @Serializable
    @SerialName("permitsGranted")
    data class PermitsGranted(
        val sequence: Long,
        val caller: CallerName,
        val count: Int,
        val leaseMillis: Long,
    ) : PeerMessage

    /** Asks for the loans that the receiver has granted as the previous permit home of [caller]. */
    @Serializable
    @SerialName("permitBookRequested")
    data class PermitLoansRequested(val caller: CallerName) : PeerMessage

    /** Answers [PermitLoansRequested]. The new permit home grants none of its own permits for [quietMillis]. */
    @Serializable
    @SerialName("permitBookDelivered")
    data class PermitLoansDelivered(
        val caller: CallerName,
        val loans: List<PermitLoan>,
        val quietMillis: Long,
    ) : PeerMessage

    /** A message of a type that this version does not support; ignored. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : PeerMessage
}
