package dev.hibiscusreach.systemtests.freshness

import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.nio.file.Path

/** Guards against hosts that act by an old configuration for seconds because the source of their reads is lost. */
class ConfigurationFreshnessTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `each host in touch has each version in force in time - guards against waits for a source of reads`(
        seed: Long,
        @TempDir folder: Path,
    ) {
        val report = FreshnessSoak(FreshnessSoakOptions(seed), folder).run()
        expectThat(report.findings).isEmpty()
    }
}
