package dev.hibiscusreach.standins.driver

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import strikt.assertions.isTrue

class LoadDriverTest {
    private fun drive(defect: StubProxy.Defect, rate: Int = 0): DriveResult =
        StubProxy(defect).use { proxy ->
            val settings =
                DriveSettings(
                    proxies = listOf(proxy.target),
                    database = "jobs",
                    caller = "tablet",
                    sessions = 3,
                    durationMillis = 300,
                    ratePerSecond = rate,
                    readPercent = 50,
                    roamPercent = 20,
                    deadlineMillis = 2_000,
                    retryForMillis = 2_000,
                    run = "r",
                )
            LoadDriver(settings).run()
        }

    @Test
    fun `a faultless proxy passes, so that the check raises no false alarm`() {
        val result = drive(StubProxy.Defect.NONE, rate = 200)

        expectThat(result.passed).isTrue()
        expectThat(result.counted).isEqualTo(result.acknowledged)
        expectThat(result.acknowledged).isGreaterThan(0)
    }

    @Test
    fun `a write whose answer was lost is sent again under its identifier, so that it counts once`() {
        val result = drive(StubProxy.Defect.DROPS_ANSWERS)

        expectThat(result.passed).isTrue()
        expectThat(result.counted).isEqualTo(result.acknowledged)
        expectThat(DriveReport(result).broken).isGreaterThan(0)
    }

    @Test
    fun `an acknowledged write that did not run is found, because a lost sign-off is never invoiced`() {
        expectThat(drive(StubProxy.Defect.FORGETS_WRITES)).get { passed }.isFalse()
    }

    @Test
    fun `a write that ran twice is found, because a duplicate order sends two lorries`() {
        val result = drive(StubProxy.Defect.IGNORES_IDENTIFIERS)

        expectThat(result.passed).isFalse()
        expectThat(result.violations).isNotEmpty()
    }

    @Test
    fun `the failover gap is the longest time between acknowledged writes, refusals do not shorten it`() {
        val records =
            listOf(0L to "ok", 10L to "ok", 400L to "no-primary", 910L to "ok", 920L to "ok").map { (millis, outcome) ->
                val nanos = millis * 1_000_000
                OperationRecord(0, "r", OperationKind.WRITE, nanos, nanos, nanos, outcome, server = null, value = null)
            }
        val report =
            DriveReport(DriveResult(records, acknowledged = 4, unresolved = 0, counted = 4, violations = emptyList()))

        expectThat(report.failoverGapMillis()).isEqualTo(900)
        expectThat(report.lines()).contains("writes: no-primary 1, ok 4")
    }

    @Test
    fun `the replica share is the difference of the proxies' counters, so that earlier reads do not count`() {
        val before = ReadsByRole.parse("hibiscusreach_reads_total{role=\"primary\"} 10.0\n")
        val after =
            ReadsByRole.parse(
                "hibiscusreach_reads_total{role=\"primary\"} 11.0\nhibiscusreach_reads_total{role=\"replica\"} 3.0\n"
            )

        expectThat(after.replicaPercentSince(before)).isEqualTo(75.0)
        expectThat(after.replicaPercentSince(after)).isNull()
    }
}
