package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** A failure domain and the region that it stands in. */
@Serializable
data class FailureDomain(val name: FailureDomainName, val region: RegionName)

/** A backend server of a database group. */
@Serializable
data class BackendServer(
    val name: ServerName,
    val failureDomain: FailureDomainName,
    /** Where sessions connect. Counted against [connectionLimit]. */
    val sessionEndpoint: Endpoint,
    /** Where control commands go. Not counted against [connectionLimit]. */
    val controlEndpoint: Endpoint,
    /** Session connections that the server accepts from all proxies together. */
    val connectionLimit: Int,
    /** Statements that the server runs at the same time. */
    val slots: Int,
)

/** A database and the backend servers that hold it. */
@Serializable
data class DatabaseGroup(val name: DatabaseName, val servers: List<BackendServer>) {
    /** The number of servers that form a majority. */
    val majority: Int get() = servers.size / 2 + 1

    /** The server called [name], if it belongs to this group. */
    fun server(name: ServerName): BackendServer? = servers.find { it.name == name }
}

/** A program or device that sends requests. */
@Serializable
data class Caller(val name: CallerName)

/** What the operators load from their asset register. */
@Serializable
data class Inventory(
    val failureDomains: List<FailureDomain> = emptyList(),
    val databaseGroups: List<DatabaseGroup> = emptyList(),
    val callers: List<Caller> = emptyList(),
)

/** What one caller accepts and may use. */
@Serializable
data class CallerRule(
    val caller: CallerName,
    /** Backend server connections that the caller may hold over the whole fleet. */
    val connectionLimit: Int = DEFAULT_CONNECTION_LIMIT,
    /** The oldest data that a read of the caller accepts. 0 asks for the newest. */
    val maximumReadAgeMillis: Long = 0,
    /** Exceptions to [maximumReadAgeMillis] by database. */
    val maximumReadAgeMillisByDatabase: Map<DatabaseName, Long> = emptyMap(),
) {
    /** The oldest data of [database] that a read of the caller accepts. */
    fun maximumReadAge(database: DatabaseName): Millis =
        Millis(maximumReadAgeMillisByDatabase[database] ?: maximumReadAgeMillis)

    companion object {
        /** Connections of a caller that has no rule. */
        const val DEFAULT_CONNECTION_LIMIT: Int = 4
    }
}

/** The rules that operators add to the inventory. */
@Serializable
data class Rules(val callers: List<CallerRule> = emptyList())

/** Everything that operators decide, as accepted under one generation. */
@Serializable
data class Configuration(
    /** Number of the accepted edit; each accepted edit has a higher one. 0 means that nothing was loaded yet. */
    val generation: Long = 0,
    val inventory: Inventory = Inventory(),
    val rules: Rules = Rules(),
)
