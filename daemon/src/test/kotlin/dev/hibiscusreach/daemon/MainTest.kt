package dev.hibiscusreach.daemon

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path

class MainTest {
    @TempDir
    lateinit var folder: Path

    private fun settings(callerAddress: String = "127.0.0.1:0", peerAddress: String = "127.0.0.1:0"): Path =
        TestFiles.write(
            folder,
            "settings.json",
            """
            {"failureDomain": "galway", "callerAddress": "$callerAddress", "operationsAddress": "127.0.0.1:0",
             "peerAddress": "$peerAddress", "platformAddresses": ["127.0.0.1:1"],
             "tokenKey": "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="}
            """.trimIndent(),
        )

    /** Guards against a process that seems to run although nobody can reach it. */
    @Test
    fun `a port in use ends the process with its own code`() =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { socket ->
            val address = "127.0.0.1:${socket.localPort}"
            for (file in listOf({ settings(callerAddress = address) }, { settings(peerAddress = address) })) {
                val run = CommandRun.of("run", "--settings", file())
                expectThat(run.exitCode).isEqualTo(ExitCode.ADDRESS_IN_USE)
                expectThat(run.errors).contains("cannot listen at $address")
            }
        }

    /** Guards against stack traces as answers to mistakes of operators. */
    @Test
    fun `mistakes are answered with a message and a code`() {
        val wrongSettings = CommandRun.of("run", "--settings", settings(callerAddress = "nowhere"))
        expectThat(wrongSettings.exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(wrongSettings.errors).contains("settings.json: line 1, callerAddress")
        expectThat(CommandRun.of("run").exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(CommandRun.of("lode").exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(CommandRun.of("load", "--platform", "here").exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(CommandRun.of("dump", "--endpoint", "127.0.0.1:1").exitCode).isEqualTo(ExitCode.UNREACHABLE)
    }

    /** Guards against exit codes that scripts cannot look up. */
    @Test
    fun `the help lists the exit codes`() {
        expectThat(CommandRun.of("--help").output).contains("Exit codes:").contains("a concurrent edit came first")
        expectThat(CommandRun.of("--version").exitCode).isEqualTo(ExitCode.SUCCESS)
    }
}
