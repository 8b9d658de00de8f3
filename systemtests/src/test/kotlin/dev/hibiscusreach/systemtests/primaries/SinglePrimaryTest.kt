package dev.hibiscusreach.systemtests.primaries

import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.nio.file.Path

/** Guards against writes and reads at a replaced primary by hosts that are cut off while it is replaced. */
class SinglePrimaryTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `no host uses a replaced primary while hosts are cut off - guards against two primaries at once`(
        seed: Long,
        @TempDir folder: Path,
    ) {
        val report = PrimarySoak(PrimarySoakOptions(seed), folder).run()
        expectThat(report.findings).isEmpty()
    }
}
