package dev.hibiscusreach.daemon

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ModuleTest {
    @Test
    fun `module has its name`() {
        expectThat(MODULE_NAME).isEqualTo("daemon")
    }
}
