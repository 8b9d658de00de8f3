package dev.hibiscusreach.runtime.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path

class SettingsFileTest {
    private val example = Files.readString(Path.of("../docs/hibiscusreach.example.json"))
    private val required =
        """
        {
          // comment
          "failureDomain": "galway-yard",
          "callerAddress": "10.20.1.11:8080",
          "operationsAddress": "10.20.1.11:8081",
          "peerAddress": "10.20.1.11:7070",
          "platformAddresses": ["10.20.0.2:9000", "10.20.0.3:9000"],
          "tokenKey": "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="
        }
        """.trimIndent()

    private fun faults(text: String): List<String> =
        SettingsFile.parse(text).getError().orEmpty().map(SettingsFault::toString)

    /** Guards against an example whose values are not the defaults, or that lacks a setting. */
    @Test
    fun `the example shows all settings with their defaults`() {
        val settings = SettingsFile.parse(example).get()
        expectThat(settings).isNotNull().isEqualTo(SettingsFile.parse(required).get())
        val root = JsonText.json.parseToJsonElement(example).jsonObject
        val keys = root.size + root.values.filterIsInstance<JsonObject>().sumOf { it.size }
        expectThat(keys).isEqualTo(14 + 8 + 10 + 7 + 11 + 14)
    }

    /** Guards against settings that are read but do not reach the reducer. */
    @Test
    fun `settings reach the reducer`() {
        val text = required.dropLast(1) + """, "request": {"drainLimitMillis": 77}, "seedAddresses": ["10.0.0.1:1"]}"""
        val self = NodeIdentity(Endpoint("10.20.1.11", 7070), 1, 1)
        val proxy = checkNotNull(SettingsFile.parse(text).get()).proxySettings(self)
        expectThat(proxy.request.drainLimit.value).isEqualTo(77)
        expectThat(proxy.seeds).isEqualTo(listOf(Endpoint("10.0.0.1", 1)))
    }

    /** Guards against a parser that stops at the first fault, so that operators must correct them one by one. */
    @Test
    fun `all faults are reported at once with their lines`() {
        val text =
            """
            {
              "failureDomain": 7,
              "callerAddress": "localhost:8080",
              "operationsAddress": "10.20.1.11:70000",
              "peerAddress": "0.0.0.0:7070", /* block
              comment */
              "platformAddresses": [],
              "tokenKey": "c2hvcnQ=",
              "logFormat": "xml",
              "callerLimit": {},
              "request": {"maximumAttempts": 0, "drainLimit": 5,
                "retryBudgetPercent": "10"}
            }
            """.trimIndent()
        val found = faults(text)
        expectThat(found).hasSize(11)
        listOf(
            "line 2, failureDomain: must be a text",
            "line 3, callerAddress: must be an IP address",
            "line 4, operationsAddress",
            "line 5, peerAddress: must be the address at which other hosts reach",
            "line 7, platformAddresses: must have at least one",
            "line 8, tokenKey: must have at least 32 bytes",
            "line 9, logFormat: must be one of text, json",
            "line 10, callerLimit: is not a known setting",
            "line 11, request.maximumAttempts: must be a whole number from 1 to 10",
            "line 11, request.drainLimit: is not a known setting",
            "line 12, request.retryBudgetPercent",
        ).forEach { expected -> expectThat(found).any { contains(expected) } }
    }

    /** Guards against a process that starts with incomplete settings. */
    @Test
    fun `missing settings and files that are not JSON are reported`() {
        expectThat(faults("{}")).hasSize(6).any { contains("tokenKey: is missing") }
        expectThat(faults("{\n  \"logLevel\": \n}")).hasSize(1).any { contains("line 3") }
        expectThat(faults("[]")).hasSize(1)
        expectThat(faults("")).hasSize(1)
    }

    /** Guards against a token key in logs. */
    @Test
    fun `the token key is not printed`() {
        expectThat(SettingsFile.parse(required).get().toString()).contains("tokenKey=TokenKey,")
    }
}
