package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.Serializable

/** A call to the platform. */
sealed interface PlatformCall {
    /** Reads an object. */
    data class Get(val key: String) : PlatformCall

    /** Writes an object if its version is still [expectedVersion]; 0 means that it must not exist. */
    data class Put(val key: String, val value: String, val expectedVersion: Long) : PlatformCall

    /** Waits until the object has a version above [afterVersion], at most [wait]. */
    data class Watch(val key: String, val afterVersion: Long, val waitMillis: Long) : PlatformCall

    /** Reads the list of hosts. */
    data object ListHosts : PlatformCall
}

/** The platform's answer to a call. */
sealed interface PlatformAnswer {
    /** The object as it stands. */
    data class Found(val key: String, val value: String, val version: Long) : PlatformAnswer

    /** The object does not exist. */
    data class Missing(val key: String) : PlatformAnswer

    /** The conditional update took effect. */
    data class Stored(val key: String, val version: Long) : PlatformAnswer

    /** The conditional update did not take effect, because the version was another one. */
    data class VersionConflict(val key: String, val actualVersion: Long) : PlatformAnswer

    /** The watch ran out with no change. */
    data class Unchanged(val key: String) : PlatformAnswer

    /** The list of hosts, which lags. */
    data class Hosts(val hosts: List<ListedHost>) : PlatformAnswer

    /** No answer came or the platform refused the call. A put may have taken effect nevertheless. */
    data class Failed(val reason: String) : PlatformAnswer
}

/** One host of the platform's list. */
@Serializable
data class ListedHost(
    val peerEndpoint: Endpoint,
    val failureDomain: FailureDomainName,
    val leaving: Boolean = false,
    /** Set if the host is a backend server's. */
    val server: ServerName? = null,
)

/** The platform's object of a database group, at the key `group/<database>`. */
@Serializable
data class GroupRecord(
    val term: Term,
    /** The primary of [term]; null while the promotion of [proposer] is not recorded yet. */
    val primary: ServerName?,
    val proposer: NodeIdentity?,
)

/** The platform's object at the key `configuration/root`. */
@Serializable
data class ConfigurationRoot(
    val generation: Long,
    /** SHA-256 of the chunks, in order. The chunks joined are the configuration as JSON. */
    val chunkHashes: List<String>,
    /** Identifiers of the latest edits, newest last, so that an edit sent again is recognized. */
    val recentChanges: List<String> = emptyList(),
)
