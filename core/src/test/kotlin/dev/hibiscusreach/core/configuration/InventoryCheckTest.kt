package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Rules
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.map

class InventoryCheckTest {
    @Test
    fun `a valid inventory with rules has no faults`() {
        expectThat(InventoryCheck.check(Examples.inventory, Examples.rules)).isEmpty()
    }

    // Guards against a check that stops at the first fault, so that operators must repeat it for each one.
    @Test
    fun `all faults are reported at once`() {
        val server = Examples.server("jobs-1", port = 5_000)
        val faulty =
            Examples.server("jobs-1", port = 6_000, domain = FailureDomainName("Mayo")).copy(
                controlEndpoint = Endpoint("jobs.example", port = 70_000),
                connectionLimit = 0,
                slots = 0,
            )
        val inventory =
            Examples.inventory.copy(
                databaseGroups =
                listOf(
                    DatabaseGroup(DatabaseName("jobs"), listOf(server, faulty)),
                    DatabaseGroup(DatabaseName("quotes/old"), emptyList()),
                ),
                callers = listOf(Caller(CallerName("office")), Caller(CallerName("office"))),
            )
        val ages = mapOf(DatabaseName("stock") to -1L)
        val rules = Rules(listOf(CallerRule(CallerName("tablet"), connectionLimit = 0, -5, ages)))

        expectThat(InventoryCheck.check(inventory, rules)).map { it.toString() }.containsExactlyInAnyOrder(
            "database \"quotes/old\": a name may have the characters A-Z a-z 0-9 . _ - and must not start with a dot",
            "database quotes/old: it has no servers",
            "server jobs-1: it is listed 2 times",
            "server jobs-1: unknown failure domain Mayo",
            "server jobs-1, control endpoint: \"jobs.example\" is not an IP address",
            "server jobs-1, control endpoint: port 70000 is not in 1 to 65535",
            "server jobs-1: connection limit 0 is below 1",
            "server jobs-1: number of slots 0 is below 1",
            "caller office: it is listed 2 times",
            "rule of caller tablet: the inventory has no such caller",
            "rule of caller tablet: connection limit 0 is below 1",
            "rule of caller tablet: negative read age -5 ms",
            "rule of caller tablet: the inventory has no database stock",
            "rule of caller tablet: negative read age -1 ms for database stock",
        )
    }
}
