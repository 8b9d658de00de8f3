package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** A failure domain and its region. */
@Serializable
data class FailureDomain(val name: FailureDomainName, val region: RegionName)

/** A backend server of a database group. */
@Serializable
data class BackendServer(
    val name: ServerName,
    val failureDomain: FailureDomainName,
    /** Endpoint for session connections, which count against [connectionLimit]. */
    val sessionEndpoint: Endpoint,
    /** Endpoint for control commands, which do not count against [connectionLimit]. */
    val controlEndpoint: Endpoint,
    /** Maximum number of session connections that the server accepts from all proxies together. */
    val connectionLimit: Int,
    /** Maximum number of statements that the server runs concurrently. */
    val slots: Int,
)

/** A database and the backend servers that store it. */
@Serializable
data class DatabaseGroup(val name: DatabaseName, val servers: List<BackendServer>) {
    /** The number of servers that form a majority. */
    val majority: Int get() = servers.size / 2 + 1

    /** The server called [name], if it belongs to this group. */
    fun server(name: ServerName): BackendServer? = servers.find { it.name == name }
}

/** A client program or device that sends requests. */
@Serializable
data class Caller(val name: CallerName)

/** The failure domains, database groups and callers that operators import from their asset register. */
@Serializable
data class Inventory(
    val failureDomains: List<FailureDomain> = emptyList(),
    val databaseGroups: List<DatabaseGroup> = emptyList(),
    val callers: List<Caller> = emptyList(),
)

/** Connection limit and read staleness bounds of one caller. */
@Serializable
data class CallerRule(
    val caller: CallerName,
    /** Maximum number of backend server connections that the caller may use across all proxies. */
    val connectionLimit: Int = DEFAULT_CONNECTION_LIMIT,
    /** Maximum staleness of the caller's reads. 0 requires the latest acknowledged data. */
    val maximumReadAgeMillis: Long = 0,
    /** Overrides of [maximumReadAgeMillis] by database. */
    val maximumReadAgeMillisByDatabase: Map<DatabaseName, Long> = emptyMap(),
) {
    /** Maximum staleness of the caller's reads of [database]. */
    fun maximumReadAge(database: DatabaseName): Millis =
        Millis(maximumReadAgeMillisByDatabase[database] ?: maximumReadAgeMillis)

    companion object {
        /** Connection limit of a caller without a rule. */
        const val DEFAULT_CONNECTION_LIMIT: Int = 4
    }
}

/** The rules that operators configure in addition to the inventory. */
@Serializable
data class Rules(val callers: List<CallerRule> = emptyList())

/** The inventory and rules of one configuration generation. */
@Serializable
data class Configuration(
    /** Version number, increased by each accepted edit. 0 means that no configuration was loaded yet. */
    val generation: Long = 0,
    val inventory: Inventory = Inventory(),
    val rules: Rules = Rules(),
)
