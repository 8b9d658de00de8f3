package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.UUID

@ExtendWith(FleetExtension::class)
internal class KilledProxyProcessTest(private val fleet: ProcessFleet) {
    private val caller = fleet.caller
    private val key = "killed-${UUID.randomUUID()}"

    // Guards against a transaction that is committed in part when its proxy dies, and against work that is lost or runs
    // twice when its caller sends it again.
    @Test
    fun `nothing is seen of a transaction whose proxy was killed and the same work runs once elsewhere`() {
        val killed = fleet.home(fleet.primary().failureDomain)
        val others = fleet.proxies - killed
        val transaction = begin(killed)
        expectThat(caller.run(killed.caller, transaction, listOf("add $key 1", "put $key-photo taken")).value)
            .isEqualTo("1")

        fleet.processes.kill(killed.name)

        expectUnseen(others.first())
        val work = CallerWrite(listOf("add $key 1", "put $key-photo taken"))
        val first = writeUntilAnswered(others.first(), work)
        val again = writeUntilAnswered(others.last(), work)

        expectThat(first) {
            get { succeeded }.isTrue()
            get { value }.isEqualTo("1")
        }
        expectThat(again) {
            get { replayed }.isTrue()
            get { value }.isEqualTo("1")
        }
        expectThat(caller.commit(others.first().caller, transaction, "commit-$key").succeeded).isEqualTo(false)
        fleet.startProxy(killed)
        fleet.awaitHealthy()
        fleet.proxies.forEach { expectThat(caller.read(it.caller, key).value).isNotNull().isEqualTo("1") }
    }

    private fun begin(proxy: FleetProxy): String = expectThat(
        caller.begin(proxy.caller).transaction
    ).isNotNull().subject

    private fun expectUnseen(proxy: FleetProxy) {
        val reply = awaitValue("a read") { caller.read(proxy.caller, key).takeIf { it.succeeded } }
        expectThat(reply.value).isNull()
    }

    private fun writeUntilAnswered(proxy: FleetProxy, work: CallerWrite): CallerReply =
        awaitValue("an answer that is final") { caller.write(proxy.caller, work).takeIf { !it.mayRepeat } }
}
