package dev.hibiscusreach.core.configuration

import com.github.michaelbull.result.getOrThrow
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.membership.FakePlatform
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Rules
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.map

class ConfigurationEditTest {
    private val platform = FakePlatform()
    private val loading = RequestedChange("load-1", Examples.inventory, Examples.rules)

    // Guards against an edit that runs twice because its answer was lost.
    @Test
    fun `an edit whose answer was lost is recognized when it is sent again`() {
        platform.losesAnswers = true
        carryOut(loading)
        platform.losesAnswers = false

        expectThat(carryOut(loading)).isEqualTo(EditResult.AlreadyApplied(generation = 1))
    }

    // Guards against two operators who overwrite each other's edit.
    @Test
    fun `an edit that loses against a concurrent one is not stored and shows what the other one changed`() {
        carryOut(loading)
        val before = stored()
        val raised = RequestedChange("raise", rules = limit(8))
        val lowered = ConfigurationEdit.prepare(before, RequestedChange("lower", rules = limit(2)))
        carryOut(raised)

        val answer = platform.answer((lowered as EditResult.Prepared).root)

        expectThat(answer).isA<PlatformAnswer.VersionConflict>()
        expectThat(ConfigurationDifference.between(before.configuration, stored().configuration).entries)
            .map { it.toString() }
            .containsExactly("changed rule of caller tablet: connection limit 4 -> 8")
    }

    // Guards against a generation that is used up by a change that changes nothing.
    @Test
    fun `a change to the content that is stored already yields nothing to put`() {
        carryOut(loading)

        expectThat(carryOut(loading.copy(identifier = "load-2"))).isEqualTo(EditResult.NothingToChange(generation = 1))
    }

    // Guards against faulty rules that reach the proxies.
    @Test
    fun `a change with faults is refused as a whole`() {
        expectThat(carryOut(loading.copy(rules = Rules(listOf(CallerRule(CallerName("stranger")))))))
            .isA<EditResult.Invalid>()
            .get { faults.map { it.toString() } }
            .containsExactly("rule of caller stranger: the inventory has no such caller")
    }

    // Guards against a configuration above the platform's limit of a megabyte for one value.
    @Test
    fun `a configuration of several megabytes is stored in chunks and read back`() {
        val servers = (1..10_000).map { Examples.server("jobs-$it", port = 2 * it) }
        val group = Examples.inventory.databaseGroups.single().copy(servers = servers)
        val inventory = Examples.inventory.copy(databaseGroups = listOf(group))

        carryOut(RequestedChange("large", inventory))

        expectThat(stored().configuration).isEqualTo(Configuration(generation = 1, inventory))
        expectThat(platform.objects.values.maxOf { it.value.length })
            .isEqualTo(ConfigurationCodec.MAXIMUM_CHUNK_LENGTH)
    }

    private fun limit(connections: Int) = Rules(listOf(CallerRule(CallerName("tablet"), connections)))

    private fun carryOut(change: RequestedChange): EditResult {
        val result = ConfigurationEdit.prepare(stored(), change)
        if (result is EditResult.Prepared) (result.chunks + result.root).forEach(platform::answer)
        return result
    }

    private fun stored(): StoredConfiguration {
        val found = platform.objects[ConfigurationCodec.ROOT_KEY] ?: return StoredConfiguration()
        val root = ConfigurationCodec.decodeRoot(found.value).getOrThrow { IllegalStateException("$it") }
        val chunks = root.chunkHashes.associateWith { platform.objects.getValue(ConfigurationCodec.chunkKey(it)).value }
        val configuration = ConfigurationCodec.decode(root, chunks).getOrThrow { IllegalStateException("$it") }
        return StoredConfiguration(root, found.version, configuration)
    }
}
