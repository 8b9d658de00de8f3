package dev.hibiscusreach.sessions.tenant

import kotlinx.serialization.Serializable

/** Name of a tenant; servers and other proxies are told it. */
@Serializable
@JvmInline
value class TenantName(val value: String) : Comparable<TenantName> {
    override fun compareTo(other: TenantName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Secret by which a caller identifies itself. It stays in the proxy that read it, and prints without its text. */
@JvmInline
value class ApiKey(val secret: String) {
    override fun toString(): String = "[redacted]"
}

/** Operations that a tenant may start, over all proxies together; an operation is a statement or a transaction. */
data class Allowance(
    /** Operations per second. */
    val ratePerSecond: Double,
    /** Operations that may start at once after a pause. */
    val burst: Double,
)

/** One tenant of the operators' configuration. */
data class Tenant(
    val name: TenantName,
    /** Null if the tenant's operations are not limited. */
    val allowance: Allowance? = null,
    /** Digest of the tenant's set of keys; proxies with the same digest accept the same keys. */
    val keysDigest: Long = 0,
)

/** The tenants of one version of the configuration. All sessions share one instance. */
class TenantDirectory(val tenants: Map<TenantName, Tenant>, private val names: Map<ApiKey, TenantName>) {
    /** The weights of the tenants. */
    val weights: TenantWeights by lazy { TenantWeights(tenants.values) }

    /** Whether there is the tenant [name] with the set of keys that [digest] stands for. */
    fun hasKeys(name: TenantName, digest: Long?): Boolean = digest != null && tenants[name]?.keysDigest == digest

    /** The tenant that holds [key]; null if there is none. */
    fun holder(key: ApiKey?): Tenant? = key?.let { names[it] }?.let { tenants[it] }

    override fun equals(other: Any?): Boolean =
        other is TenantDirectory && tenants == other.tenants && names == other.names

    override fun hashCode(): Int = tenants.hashCode()

    override fun toString(): String = "TenantDirectory(${tenants.size} tenants)"
}
