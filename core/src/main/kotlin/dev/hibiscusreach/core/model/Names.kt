package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** Name of a database group, unique within the inventory. */
@Serializable
@JvmInline
value class DatabaseName(val value: String) : Comparable<DatabaseName> {
    override fun compareTo(other: DatabaseName): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Name of a backend server, unique within the inventory. */
@Serializable
@JvmInline
value class ServerName(val value: String) : Comparable<ServerName> {
    override fun compareTo(other: ServerName): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Name of a caller, unique within the inventory. */
@Serializable
@JvmInline
value class CallerName(val value: String) : Comparable<CallerName> {
    override fun compareTo(other: CallerName): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Name of a failure domain, unique within the inventory. */
@Serializable
@JvmInline
value class FailureDomainName(val value: String) : Comparable<FailureDomainName> {
    override fun compareTo(other: FailureDomainName): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Name of a region, which holds one or more failure domains. */
@Serializable
@JvmInline
value class RegionName(val value: String) : Comparable<RegionName> {
    override fun compareTo(other: RegionName): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Request identifier chosen by the caller; for writes it is the idempotency key. */
@Serializable
@JvmInline
value class RequestIdentifier(val value: String) {
    override fun toString(): String = value
}

/** IP address and port of a TCP endpoint. */
@Serializable
data class Endpoint(val address: String, val port: Int) : Comparable<Endpoint> {
    override fun compareTo(other: Endpoint): Int = compareValuesBy(this, other, Endpoint::address, Endpoint::port)
    override fun toString(): String = "$address:$port"
}
