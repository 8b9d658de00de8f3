package dev.hibiscusreach.standins.slopes

import com.github.michaelbull.result.get
import dev.hibiscusreach.core.configuration.ConfigurationCodec
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
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.Rules
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxySettings

/** Names, addresses and configurations of the measured sizes. */
internal object Deployment {
    /** Failure domains of the target scale. */
    const val DOMAINS = 8

    /** A failure domain without proxies: databases there are known to every proxy but have no home. */
    val REMOTE_DOMAIN = FailureDomainName("remote")

    private const val REGIONS = 3
    private const val SERVERS = 3
    private const val ADDRESSES = 250
    private const val PEER_PORT = 7000
    private const val SESSION_PORT = 5000
    private const val CONTROL_PORT = 5001
    private const val CONNECTION_LIMIT = 30
    private const val SLOTS = 5

    /** The failure domain of node [index] in a fleet of [nodes]. */
    fun domain(index: Int, nodes: Int): FailureDomainName = domainName(index % minOf(DOMAINS, nodes))

    /** The settings of node [index] in a fleet of [nodes], with the first nodes as seeds. */
    fun settings(index: Int, nodes: Int): ProxySettings =
        ProxySettings(
            self = identity(index),
            failureDomain = domain(index, nodes),
            seeds = (0 until minOf(nodes, DOMAINS)).filter { it != index }.map { identity(it).peerEndpoint },
        )

    fun identity(index: Int): NodeIdentity =
        NodeIdentity(Endpoint("10.0.${index / ADDRESSES}.${index % ADDRESSES}", PEER_PORT), 1, nonce = index + 1)

    /** [databases] with three servers each, spread over the domains of [nodes] proxies, or in [REMOTE_DOMAIN]. */
    fun configuration(
        databases: Int,
        nodes: Int,
        callers: Int = 1,
        remote: Boolean = false,
        connectionLimit: Int = CONNECTION_LIMIT,
    ): Configuration {
        val domains = minOf(DOMAINS, nodes)
        val names = List(domains, ::domainName) + REMOTE_DOMAIN
        val callerNames = List(callers) { CallerName("caller-$it") }
        val place = { index: Int -> if (remote) REMOTE_DOMAIN else domainName(index % domains) }
        return Configuration(
            generation = 1,
            inventory =
            Inventory(
                failureDomains = names.mapIndexed { at, name -> FailureDomain(name, RegionName("r${at % REGIONS}")) },
                databaseGroups = List(databases) { group(it, connectionLimit, place) },
                callers = callerNames.map(::Caller),
            ),
            rules = Rules(callerNames.map { CallerRule(it, connectionLimit) }),
        )
    }

    /** [configuration] as a process holds it that read it from the platform, without shared strings. */
    fun decoded(configuration: Configuration): Configuration {
        val encoded = ConfigurationCodec.encode(configuration, emptyList())
        return checkNotNull(ConfigurationCodec.decode(encoded.root, encoded.chunks).get())
    }

    private fun group(index: Int, connectionLimit: Int, place: (Int) -> FailureDomainName): DatabaseGroup {
        val name = "database-$index"
        return DatabaseGroup(DatabaseName(name), List(SERVERS) { server(name, index, it, connectionLimit, place) })
    }

    private fun server(
        database: String,
        index: Int,
        number: Int,
        connectionLimit: Int,
        place: (Int) -> FailureDomainName,
    ): BackendServer {
        val address = "10.${number + 1}.${index / ADDRESSES}.${index % ADDRESSES}"
        return BackendServer(
            name = ServerName("$database-server-$number"),
            failureDomain = place(index + number),
            sessionEndpoint = Endpoint(address, SESSION_PORT),
            controlEndpoint = Endpoint(address, CONTROL_PORT),
            connectionLimit = connectionLimit,
            slots = SLOTS,
        )
    }

    private fun domainName(index: Int) = FailureDomainName("domain-$index")
}
