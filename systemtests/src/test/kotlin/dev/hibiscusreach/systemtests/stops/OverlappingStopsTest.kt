package dev.hibiscusreach.systemtests.stops

import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.nio.file.Path

/** Guards against statements without a whole answer when several proxies stop at the same time. */
class OverlappingStopsTest {
    @ParameterizedTest
    @ValueSource(longs = [33, 34])
    fun `each statement is answered while processes stop in overlapping series - guards against lost statements`(
        seed: Long,
        @TempDir folder: Path,
    ) {
        val report = StopSoak(StopSoakOptions(seed), folder).run()
        expectThat(report.findings).isEmpty()
    }
}
