package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identity of one proxy process. A restart keeps [node] and gets another [incarnation]. */
@Serializable
data class ProxyIdentity(val node: String, val incarnation: Long)

/** A record that proxies share through the platform's store. */
@Serializable
sealed interface FleetRecord {
    /** The primary of a group. Every change of primary increases [epoch]. */
    @Serializable
    @SerialName("group")
    data class Group(
        val group: String,
        val epoch: Long,
        val term: Term,
        val primary: ServerName,
        /** The proxy that is replacing the primary; null while no change is in progress. */
        val changedBy: ProxyIdentity? = null,
        /**
         * The replicas that may hold acknowledged commits which the others lack, even if they have been removed since;
         * empty if commits do not wait for replicas.
         */
        val replicas: Set<ServerName> = emptySet(),
        /**
         * Starts of the processes whose logs [replicas] stands for, in Unix milliseconds. A replica that starts again
         * has lost its log, so that the status of the later process does not stand for it.
         */
        val replicaStarts: Map<ServerName, Long> = emptyMap(),
        /** Minimum position of a successor's log; covers the commits of replicas that were removed from [replicas]. */
        val floor: Position? = null,
        /** Number of the store's era in which the record was written. */
        val era: Long = 0,
        /**
         * The server whose promotion is requested in the change; written before the request is sent. Its promotion may
         * take effect at any time, also after another proxy has taken the change over.
         */
        val successor: ServerName? = null,
        /**
         * Whether the change began with a record from before a restoration of the store. Records that the store has
         * lost may name a later primary, or a successor whose promotion was requested.
         */
        val afterRestoration: Boolean = false,
    ) : FleetRecord

    /** A running proxy. It renews its lease on primaries only while this record exists and is not [expelled]. */
    @Serializable
    @SerialName("proxy")
    data class Proxy(
        val identity: ProxyIdentity,
        val peerEndpoint: Endpoint,
        /** Whether another proxy removed this one as unresponsive. It registers again if it still runs. */
        val expelled: Boolean = false,
        /** Null in records of proxies that do not announce it. */
        val failureDomain: FailureDomainName? = null,
        /** The groups whose servers this proxy may use; null for all groups. */
        val groups: Set<GroupName>? = null,
        /** Whether the proxy is stopping; it finishes its transactions but accepts no further work as a home. */
        val leaving: Boolean = false,
        /** Number of the proxy's writes of its record; it makes each of them a change with a revision of its own. */
        val writes: Long = 0,
        /** Number of the store's era in which the record was written. */
        val era: Long = 0,
        /**
         * Whether the proxy of this node may grant tokens of allowances, so that a process that replaces this one need
         * not wait; only written while the configuration has tenants.
         */
        val tenured: Boolean = false,
    ) : FleetRecord {
        /** Whether this proxy may use the servers of [group]. */
        fun isHomeOf(group: GroupName): Boolean = groups == null || group in groups
    }

    /** The proxy that holds the promoter lock and so may request promotions; null if the lock is free. */
    @Serializable
    @SerialName("promoter")
    data class Promoter(val holder: ProxyIdentity?) : FleetRecord

    /** Tells that no lease of an era before [era] is valid any more. */
    @Serializable
    @SerialName("settledEra")
    data class SettledEra(val era: Long) : FleetRecord
}

/** Name of a [FleetRecord] within the store. */
@JvmInline
value class FleetKey(val value: String) {
    companion object {
        /** The only key of a [FleetRecord.Promoter]. */
        val PROMOTER: FleetKey = FleetKey("promoter")

        /** The only key of a [FleetRecord.SettledEra]. */
        val SETTLED_ERA: FleetKey = FleetKey("settledEra")

        /** The key of a group's record. */
        fun group(name: GroupName): FleetKey = FleetKey("group.${name.value}")

        /** The key of a proxy's record. */
        fun proxy(node: String): FleetKey = FleetKey("proxy.$node")
    }
}

/** A record with its revision; a later write of any record in the store has a higher revision. */
@Serializable
data class StoredRecord(
    val record: FleetRecord,
    @Serializable(with = RevisionNumberSerializer::class)
    val revision: Revision,
)

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

    /** Asks for the fleet's records; the receiver must send its read to the store after this request has arrived. */
    @Serializable
    @SerialName("readFleet")
    data class ReadFleet(
        /** Time of the request by the sender's monotonic clock; not comparable with the receiver's clock. */
        val askedAtMillis: Long,
    ) : PeerRequest

    /** Asks whether the receiver runs. */
    @Serializable
    @SerialName("ping")
    data object Ping : PeerRequest

    /** Announces a group's new primary. */
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

    /** The sender runs, but cannot reach the store. */
    @Serializable
    @SerialName("storeLost")
    data object StoreLost : PeerAnswer

    /** The records as the sender has read them from the store. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val records: Map<String, StoredRecord>) : PeerAnswer

    /** Milliseconds since the server last answered the sender; null if it never did. */
    @Serializable
    @SerialName("seen")
    data class Seen(val ageMillis: Long?) : PeerAnswer
}
