package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomain
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.Rules
import dev.hibiscusreach.core.model.ServerName

/** A small valid inventory with rules. */
internal object Examples {
    val yard = FailureDomainName("Galway yard")

    val inventory =
        Inventory(
            failureDomains = listOf(FailureDomain(yard, RegionName("west"))),
            databaseGroups = listOf(DatabaseGroup(DatabaseName("jobs"), listOf(server("jobs-1", port = 5_000)))),
            callers = listOf(Caller(CallerName("tablet"))),
        )

    val rules = Rules(listOf(CallerRule(CallerName("tablet"), connectionLimit = 4)))

    fun server(name: String, port: Int, domain: FailureDomainName = yard) =
        BackendServer(
            name = ServerName(name),
            failureDomain = domain,
            sessionEndpoint = Endpoint("10.1.0.1", port),
            controlEndpoint = Endpoint("10.1.0.1", port + 1),
            connectionLimit = 30,
            slots = 5,
        )
}
