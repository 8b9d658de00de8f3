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

    /** Waits until the object has a version above [afterVersion], at most [waitMillis]. */
    data class Watch(val key: String, val afterVersion: Long, val waitMillis: Long) : PlatformCall

    /** Reads the list of hosts. */
    data object ListHosts : PlatformCall
}

/** The platform's answer to a call. */
sealed interface PlatformAnswer {
    /** The current value and version of the object. */
    data class Found(val key: String, val value: String, val version: Long) : PlatformAnswer

    /** The object does not exist. */
    data class Missing(val key: String) : PlatformAnswer

    /** The conditional update took effect. */
    data class Stored(val key: String, val version: Long) : PlatformAnswer

    /** The conditional update did not take effect, because the object had another version. */
    data class VersionConflict(val key: String, val actualVersion: Long) : PlatformAnswer

    /** The watch timed out without a change. */
    data class Unchanged(val key: String) : PlatformAnswer

    /** The list of hosts, which may be out of date. */
    data class Hosts(val hosts: List<ListedHost>) : PlatformAnswer

    /** The call timed out or was refused by the platform. A put may still have taken effect. */
    data class Failed(val reason: String) : PlatformAnswer
}

/** One host of the platform's list. */
@Serializable
data class ListedHost(
    val peerEndpoint: Endpoint,
    val failureDomain: FailureDomainName,
    val leaving: Boolean = false,
    /** Set if the host runs a backend server. */
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
    /** SHA-256 hashes of the chunks, in order. The concatenated chunks are the configuration as JSON. */
    val chunkHashes: List<String>,
    /** Identifiers of the latest edits, newest last, used to detect retried edits. */
    val recentChanges: List<String> = emptyList(),
)
