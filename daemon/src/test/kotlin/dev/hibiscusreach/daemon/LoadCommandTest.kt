package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.configuration.ConfigurationCodec
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

class LoadCommandTest {
    @TempDir
    lateinit var folder: Path
    private val platform = FakePlatform()
    private lateinit var inventory: Path
    private lateinit var rules: Path

    @BeforeEach
    fun writeFiles() {
        inventory = TestFiles.write(folder, "inventory.json", TestFiles.inventory)
        rules = TestFiles.write(folder, "rules.json", TestFiles.rules(connectionLimit = 3))
    }

    @AfterEach
    fun stopPlatform() = platform.close()

    private fun load(vararg arguments: Any) = CommandRun.of("load", "--platform", platform.address, *arguments)

    private fun show(): String = CommandRun.of("show", "--platform", platform.address).output

    private fun loadBoth(vararg arguments: Any) = load("--inventory", inventory, "--rules", rules, *arguments)

    /** Guards against an edit that takes effect twice because it was sent again. */
    @Test
    fun `loading a change again has no effect`() {
        expectThat(loadBoth("--change", "c1").exitCode).isEqualTo(ExitCode.SUCCESS)
        val again = loadBoth("--change", "c1")
        expectThat(again.exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(again.output).contains("loaded already; generation 1")
        expectThat(show()).contains("\"generation\": 1").contains("\"connectionLimit\": 3")
    }

    /** Guards against an edit that is taken for the earlier one with its identifier and is silently lost. */
    @Test
    fun `another edit under the identifier of a loaded one is an error and changes nothing`() {
        loadBoth("--change", "c1")
        TestFiles.write(folder, "rules.json", TestFiles.rules(connectionLimit = 9))
        val other = loadBoth("--change", "c1")
        expectThat(other.exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(other.errors).contains("another change has it already")
        expectThat(show()).contains("\"generation\": 1").contains("\"connectionLimit\": 3")
    }

    /** Guards against rules that are lost when only the inventory is loaded, and the other way round. */
    @Test
    fun `what no file is named for stays`() {
        loadBoth()
        load("--rules", TestFiles.write(folder, "more.json", TestFiles.rules(connectionLimit = 7)))
        expectThat(show()).contains("jobs-1").contains("\"connectionLimit\": 7").contains("\"generation\": 2")
        expectThat(loadBoth().exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(loadBoth().output).contains("nothing to change; generation 3")
    }

    /** Guards against an edit that overwrites a concurrent one, and against changed files of the one that loses. */
    @Test
    fun `an edit that loses to a concurrent one changes nothing and shows the other`() {
        loadBoth()
        val other = TestFiles.write(folder, "other.json", TestFiles.rules(connectionLimit = 8))
        val mine = TestFiles.write(folder, "mine.json", TestFiles.rules(connectionLimit = 5))
        var raced = false
        platform.beforePut = { key ->
            if (key == ConfigurationCodec.ROOT_KEY && !raced) {
                raced = true
                load("--rules", other)
            }
        }
        val before = Files.readString(mine)
        val run = load("--rules", mine)
        expectThat(run.exitCode).isEqualTo(ExitCode.LOST_TO_CONCURRENT_EDIT)
        expectThat(
            run.errors
        ).contains("generation 2 is in effect").contains("rule of caller tablet: connection limit 3 -> 8")
        expectThat(show()).contains("\"connectionLimit\": 8")
        expectThat(Files.readString(mine)).isEqualTo(before)
    }

    /** Guards against files that were made from an old configuration and undo what came after it. */
    @Test
    fun `files made from another generation are refused`() {
        loadBoth()
        val run =
            load("--rules", TestFiles.write(folder, "old.json", TestFiles.rules(connectionLimit = 5)), "--base", 0)
        expectThat(run.exitCode).isEqualTo(ExitCode.LOST_TO_CONCURRENT_EDIT)
        expectThat(show()).contains("\"connectionLimit\": 3")
    }

    /** Guards against an accepted edit that is reported as failed. */
    @Test
    fun `an edit whose answer was lost is recognized`() {
        platform.losesAnswer = { it == ConfigurationCodec.ROOT_KEY }
        val run = loadBoth()
        expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(run.output).contains("generation 1")
    }

    /** Guards against a load that gives up because one answer about a chunk was lost. */
    @Test
    fun `a chunk whose answer was lost is stored again`() {
        val lost = mutableSetOf<String>()
        platform.losesAnswer = { it != ConfigurationCodec.ROOT_KEY && lost.add(it) }
        expectThat(loadBoth().exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(show()).contains("jobs-1")
    }

    /** Guards against an outage that is reported as success or as a lost race. */
    @Test
    fun `an unreachable platform is reported`() {
        platform.close()
        expectThat(loadBoth().exitCode).isEqualTo(ExitCode.UNREACHABLE)
    }

    /** Guards against tables that lead to another inventory than the same content in JSON. */
    @Test
    fun `tables and JSON give the same inventory`() {
        loadBoth()
        val servers = TestFiles.write(folder, "servers.csv", TestFiles.SERVERS_CSV)
        val callers = TestFiles.write(folder, "callers.csv", TestFiles.CALLERS_CSV)
        val tables = arrayOf("--platform", platform.address, "--servers-csv", servers, "--callers-csv", callers)
        expectThat(CommandRun.of("diff", *tables).exitCode).isEqualTo(ExitCode.SUCCESS)
        Files.writeString(servers, TestFiles.SERVERS_CSV.replace(",30,5", ",31,5"))
        val different = CommandRun.of("diff", *tables)
        expectThat(different.exitCode).isEqualTo(ExitCode.DIFFERENT)
        expectThat(different.output).contains("changed server jobs-1: connection limit 30 -> 31")
    }

    /** Guards against shown files that cannot be loaded again. */
    @Test
    fun `shown inventory and rules can be loaded`() {
        loadBoth()
        val shown =
            listOf("inventory", "rules").flatMap { part ->
                val text = CommandRun.of("show", "--platform", platform.address, "--part", part).output
                listOf("--$part", TestFiles.write(folder, "shown-$part.json", text))
            }
        expectThat(load(*shown.toTypedArray()).output).contains("nothing to change")
    }

    /** Guards against an invalid file that replaces a valid configuration. */
    @Test
    fun `invalid files are not loaded`() {
        loadBoth()
        Files.writeString(inventory, TestFiles.inventory.replace("\"galway\", \"region\"", "\"cork\", \"region\""))
        expectThat(loadBoth().exitCode).isEqualTo(ExitCode.INVALID_INPUT)
        expectThat(show()).contains("\"generation\": 1")
    }
}
