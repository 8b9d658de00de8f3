package dev.hibiscusreach.daemon

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Path

class CheckCommandTest {
    @TempDir
    lateinit var folder: Path

    private fun expectFault(expected: String, vararg arguments: Any) {
        val run = CommandRun.of("check", *arguments)
        expectThat(run.exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(run.errors).contains(expected)
    }

    private fun inventory(from: String, to: String): Path =
        TestFiles.write(folder, "inventory.json", TestFiles.inventory.replace(from, to))

    @Test
    fun `valid files are accepted`() {
        val rules = TestFiles.write(folder, "rules.json", TestFiles.rules(connectionLimit = 3))
        val run = CommandRun.of("check", "--inventory", inventory("", ""), "--rules", rules)
        expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(run.output).contains("1 databases, 1 servers, 1 callers, 1 caller rules")
    }

    /** Guards against faults in a long inventory that an operator cannot find. */
    @Test
    fun `faults of an inventory are reported with their lines`() {
        expectFault("line 12", "--inventory", inventory("\"slots\": 5", "\"slots\": \"many\""))
        expectFault("line 12", "--inventory", inventory("slots", "slot"))
        expectFault("line 9", "--inventory", inventory("\"failureDomain\": \"galway\"", "\"failureDomain\": \"gal\""))
        expectFault("no such file", "--inventory", folder.resolve("missing.json"))
    }

    /** Guards against rules of callers that do not exist, which would never have an effect. */
    @Test
    fun `a rule of an unknown caller is reported`() {
        val rules = TestFiles.write(folder, "rules.json", TestFiles.rules(connectionLimit = 3).replace("tablet", "t"))
        expectFault("rules.json, line 1", "--inventory", inventory("", ""), "--rules", rules)
    }

    /** Guards against tables whose faults are taken for values. */
    @Test
    fun `faults of tables are reported with their lines`() {
        val servers = TestFiles.SERVERS_CSV + "jobs,jobs-2,galway,east,10.0.0.2,x,10.0.0.2,5433,30,5\n,,\n"
        val arguments =
            arrayOf(
                "--servers-csv",
                TestFiles.write(folder, "servers.csv", servers),
                "--callers-csv",
                TestFiles.write(folder, "callers.csv", "name\ntablet\n"),
            )
        expectFault("servers.csv, line 3: session_port is not a whole number: x", *arguments)
        expectFault("servers.csv, line 4: database is empty", *arguments)
        expectFault("callers.csv, line 1: columns are missing: caller", *arguments)
    }

    /** Guards against settings that are only checked when the process starts. */
    @Test
    fun `all faults of settings are reported`() {
        expectFault("callerAddress: is missing", "--settings", TestFiles.write(folder, "settings.json", "{\"x\": 1}"))
        expectFault("line 1, x: is not a known", "--settings", folder.resolve("settings.json"))
    }
}
