package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identity of one run of a proxy. A restart keeps the node's name and has another incarnation. */
@Serializable
data class ProxyIdentity(val node: String, val incarnation: Long)

/** A record that proxies share through the platform's store. */
@Serializable
sealed interface FleetRecord {
    /** Who leads a group. Every change of primary has a higher [epoch]. */
    @Serializable
    @SerialName("group")
    data class Group(
        val group: String,
        val epoch: Long,
        val term: Term,
        val primary: ServerName,
        /** The proxy that replaces the primary; null while the primary is in office. */
        val changedBy: ProxyIdentity? = null,
        /**
         * The replicas when the change began, where commits wait for replicas. Any of them may hold acknowledged
         * commits that the others lack, also if it has left since.
         */
        val replicas: Set<ServerName> = emptySet(),
        /** Position that the successor must have received because of replicas that left before the change. */
        val floor: Position? = null,
    ) : FleetRecord

    /** A running proxy. It renews its lease on primaries only while this record exists and is not [expelled]. */
    @Serializable
    @SerialName("proxy")
    data class Proxy(
        val identity: ProxyIdentity,
        val peerEndpoint: Endpoint,
        /** Whether another proxy found this one silent. It registers again if it still runs. */
        val expelled: Boolean = false,
    ) : FleetRecord

    /** The proxy that may order promotions; null if none may. */
    @Serializable
    @SerialName("promoter")
    data class Promoter(val holder: ProxyIdentity?) : FleetRecord
}

/** Name of a [FleetRecord] within the store. */
@JvmInline
value class FleetKey(val value: String) {
    companion object {
        /** The only key of a [FleetRecord.Promoter]. */
        val PROMOTER: FleetKey = FleetKey("promoter")

        /** The key of a group's record. */
        fun group(name: GroupName): FleetKey = FleetKey("group.${name.value}")

        /** The key of a proxy's record. */
        fun proxy(node: String): FleetKey = FleetKey("proxy.$node")
    }
}

/** A record with its revision in the store; revisions of all records increase together. */
@Serializable
data class StoredRecord(val record: FleetRecord, val revision: Long)

/** A message between two proxies. */
@Serializable
sealed interface PeerRequest {
    /** Asks the receiver to stop using the primary that served before [epoch]. */
    @Serializable
    @SerialName("fence")
    data class Fence(val group: String, val epoch: Long, val planned: Boolean) : PeerRequest

    /** Asks when the receiver last heard from a server. */
    @Serializable
    @SerialName("sighting")
    data class Sighting(val server: ServerName) : PeerRequest

    /** Asks for the fleet's records as the store shows them to a read that is sent after this request. */
    @Serializable
    @SerialName("readFleet")
    data class ReadFleet(
        /** Time of the request by the sender's clock, which means nothing to the receiver. */
        val askedAtMillis: Long,
    ) : PeerRequest

    /** Asks whether the receiver runs. */
    @Serializable
    @SerialName("ping")
    data object Ping : PeerRequest

    /** Tells that a group has a new primary. */
    @Serializable
    @SerialName("publish")
    data class Publish(val record: FleetRecord.Group, val revision: Long) : PeerRequest
}

/** The answer to a [PeerRequest]. */
@Serializable
sealed interface PeerAnswer {
    /** The request was carried out. */
    @Serializable
    @SerialName("done")
    data object Done : PeerAnswer

    /** The sender runs, but does not reach the store. */
    @Serializable
    @SerialName("storeLost")
    data object StoreLost : PeerAnswer

    /** The records that a read of the sender has shown. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val records: Map<String, StoredRecord>) : PeerAnswer

    /** Milliseconds since the server last answered the sender; null if it never did. */
    @Serializable
    @SerialName("seen")
    data class Seen(val ageMillis: Long?) : PeerAnswer
}
