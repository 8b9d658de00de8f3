package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.CallerAnswer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class RoamingSessionTest {
    private val fleet = Fleet(Deployment.cycleRacks(), seed = 41)
    private val requests = DirectRequests(fleet)

    // Guards against a replica that is fresh enough for the caller but has not applied the session's own write yet.
    @Test
    fun `a session reads its own write through every proxy although a replica lags`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        val primary = Faults(fleet, requests.database, emptyList()).primary()!!
        val lagging = fleet.servers.values.last { it != primary }
        lagging.replicationLagMillis = 1_500
        fleet.schedule.advance(millis = 2_000)
        requests.write(fleet.running().first(), "put job-7 signed-off")
        // The reads follow the acknowledgement at once, long before the lagging replica has the write.
        repeat(100) { if (requests.answers.isEmpty()) fleet.schedule.advance(millis = 10) }
        expectThat(requests.answers.single()).isA<CallerAnswer.Completed>()
        requests.answers.clear()

        fleet.running().forEach { requests.readAged(it, "get job-7") }
        fleet.schedule.advance(millis = 2_500)

        expectThat(requests.answers).hasSize(fleet.running().size)
        expectThat(requests.answers).all {
            isA<CallerAnswer.Completed>().get { results.single().rows }.isEqualTo(listOf(listOf("signed-off")))
        }
    }

    // Guards against read-your-writes that is bought by sending every read to the primary.
    @Test
    fun `once a replica has the write the session is served there`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        val primary = Faults(fleet, requests.database, emptyList()).primary()!!
        requests.write(fleet.running().first(), "put job-7 signed-off")
        fleet.schedule.advance(millis = 500)
        requests.answers.clear()

        val away = fleet.running().filter { it.settings.failureDomain != primary.server.failureDomain }
        away.forEach { requests.readAged(it, "get job-7") }
        fleet.schedule.advance(millis = 1_000)

        expectThat(requests.answers).hasSize(away.size)
        expectThat(requests.answers).all {
            isA<CallerAnswer.Completed>().get { server }.isNotEqualTo(primary.server.name)
        }
    }
}
