package dev.hibiscusreach.standins.command

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import java.io.PrintWriter
import java.io.StringWriter
import java.net.ServerSocket

class CommandLineTest {
    private val output = StringWriter()
    private val errors = StringWriter()
    private val commandLine = commandLine().setOut(PrintWriter(output)).setErr(PrintWriter(errors))

    @Test
    fun `free ports differ, so that the processes of a demonstration do not collide`() {
        expectThat(commandLine.execute("ports", "20")).isEqualTo(0)
        expectThat(output.toString().lines().filter { it.isNotEmpty() }.map { it.toInt() }.toSet())
            .hasSize(20)
            .all { isIn(1..65_535) }
    }

    @Test
    fun `malformed options are refused, so that a stand-in does not listen at another port than intended`() {
        expectThat(commandLine.execute("platform", "--listen", "127.0.0.1:99999")).isEqualTo(2)
        expectThat(commandLine.execute("server", "--server", "a=1,2")).isEqualTo(2)
        expectThat(errors.toString())
            .contains("'127.0.0.1:99999' is not HOST:PORT")
            .contains("'a=1,2' is not NAME=SESSION,CONTROL,ADMIN")
    }

    @Test
    fun `an unreachable admin port fails the command, so that a script notices a missing stand-in`() {
        val closedPort = ServerSocket(0).use { it.localPort }

        expectThat(commandLine.execute("admin", "GET", "127.0.0.1:$closedPort/status")).isEqualTo(1)
    }
}
