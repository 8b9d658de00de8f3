package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomain
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.Rules
import dev.hibiscusreach.core.model.ServerName

/** The sizes and latencies of one user's deployment. Latencies are one way, in microseconds. */
class Deployment(
    val domains: List<FailureDomain>,
    val databases: List<String>,
    private val storeRegion: RegionName,
    val slots: Int,
    val domainLatencyMicros: Long,
) {
    /** The callers of every test: one that reads the newest data, and one that accepts data of [STATED_AGE_MILLIS]. */
    val configuration: Configuration =
        Configuration(
            generation = 1,
            inventory =
            Inventory(
                failureDomains = domains,
                databaseGroups = databases.mapIndexed(::group),
                callers = listOf(Caller(STRICT_CALLER), Caller(RELAXED_CALLER)),
            ),
            rules =
            Rules(
                listOf(
                    CallerRule(STRICT_CALLER, connectionLimit = 24),
                    CallerRule(RELAXED_CALLER, connectionLimit = 24, maximumReadAgeMillis = STATED_AGE_MILLIS),
                ),
            ),
        )

    /** Where the platform's store stands, apart from the failure domains. */
    val storeDomain: FailureDomainName = FailureDomainName("store")

    /** The latency between hosts of two failure domains. */
    fun latencyMicros(from: FailureDomainName, to: FailureDomainName): Long =
        when {
            from == to -> LOCAL_LATENCY_MICROS
            region(from) == region(to) -> domainLatencyMicros
            else -> REGION_LATENCY_MICROS
        }

    /** Whether two failure domains stand in different regions. */
    fun crossesRegions(from: FailureDomainName, to: FailureDomainName): Boolean = region(from) != region(to)

    private fun region(domain: FailureDomainName): RegionName =
        domains.find { it.name == domain }?.region ?: storeRegion

    private fun group(databaseIndex: Int, name: String): DatabaseGroup =
        DatabaseGroup(
            name = DatabaseName(name),
            servers =
            domains.mapIndexed { domainIndex, domain ->
                val address = "10.1.$databaseIndex.$domainIndex"
                BackendServer(
                    name = ServerName("$name-${domain.name}"),
                    failureDomain = domain.name,
                    sessionEndpoint = Endpoint(address, port = 5000),
                    controlEndpoint = Endpoint(address, port = 5001),
                    connectionLimit = CONNECTION_LIMIT,
                    slots = slots,
                )
            },
        )

    companion object {
        val STRICT_CALLER = CallerName("office")
        val RELAXED_CALLER = CallerName("portal")
        const val STATED_AGE_MILLIS = 2_000L
        const val CLIENT_LATENCY_MICROS = 3_000L
        const val CONNECTION_SETUP_MICROS = 12_000L
        const val CONNECTION_LIMIT = 30
        private const val LOCAL_LATENCY_MICROS = 100L
        private const val REGION_LATENCY_MICROS = 8_000L

        /** Ó Briain: Galway and Mayo in the west, Dublin in the east, 5 slots a server. */
        fun cycleRacks(databases: List<String> = listOf("jobs")): Deployment =
            Deployment(
                domains =
                listOf(domain("galway", "west"), domain("mayo", "west"), domain("dublin", "east")),
                databases = databases,
                storeRegion = RegionName("west"),
                slots = 5,
                domainLatencyMicros = 500,
            )

        /** Rykgler: Selfoss and Hvolsvöllur in the south, Akureyri in the north, 2 slots a server. */
        fun vendingMachines(databases: List<String> = listOf("sales")): Deployment =
            Deployment(
                domains =
                listOf(domain("selfoss", "south"), domain("hvolsvollur", "south"), domain("akureyri", "north")),
                databases = databases,
                storeRegion = RegionName("south"),
                slots = 2,
                domainLatencyMicros = 1_500,
            )

        private fun domain(name: String, region: String) = FailureDomain(FailureDomainName(name), RegionName(region))
    }
}
