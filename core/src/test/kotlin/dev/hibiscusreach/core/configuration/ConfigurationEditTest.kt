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
    private val load = RequestedChange("load-1", Examples.inventory, Examples.rules)

    // Guards against an edit that is applied twice because it was sent again after its answer was lost.
    @Test
    fun `an edit whose answer was lost is recognized when it is sent again`() {
        platform.dropsPutAnswers = true
        applyChange(load)
        platform.dropsPutAnswers = false

        expectThat(applyChange(load)).isEqualTo(EditResult.AlreadyApplied(generation = 1))
    }

    // Guards against a change that is mistaken for an earlier one and never applied.
    @Test
    fun `a different change with the identifier of the latest one is rejected`() {
        applyChange(load)

        expectThat(applyChange(load.copy(rules = limit(8)))).isA<EditResult.Invalid>()
    }

    // Guards against lost updates when two operators edit the same stored configuration.
    @Test
    fun `an edit that conflicts with a concurrent one is not stored and the change by the other one can be shown`() {
        applyChange(load)
        val before = stored()
        val raised = RequestedChange("raise", rules = limit(8))
        val lowered = ConfigurationEdit.prepare(before, RequestedChange("lower", rules = limit(2)))
        applyChange(raised)

        val answer = platform.answer((lowered as EditResult.Prepared).root)

        expectThat(answer).isA<PlatformAnswer.VersionConflict>()
        expectThat(ConfigurationDifference.between(before.configuration, stored().configuration).entries)
            .map { it.toString() }
            .containsExactly("changed rule of caller tablet: connection limit 4 -> 8")
    }

    // Guards against a new generation for a change without any effect.
    @Test
    fun `a change to the content that is already stored writes nothing`() {
        applyChange(load)

        expectThat(applyChange(load.copy(identifier = "load-2"))).isEqualTo(EditResult.NothingToChange(generation = 1))
    }

    // Guards against invalid rules that reach the proxies.
    @Test
    fun `a change with faults is rejected as a whole`() {
        expectThat(applyChange(load.copy(rules = Rules(listOf(CallerRule(CallerName("stranger")))))))
            .isA<EditResult.Invalid>()
            .get { faults.map { it.toString() } }
            .containsExactly("rule of caller stranger: the inventory has no such caller")
    }

    // Guards against a configuration that cannot be stored because it exceeds the platform's limit of 1 MB for a value.
    @Test
    fun `a configuration of several megabytes is stored in chunks and read back`() {
        val servers = (1..10_000).map { Examples.server("jobs-$it", port = 2 * it) }
        val group = Examples.inventory.databaseGroups.single().copy(servers = servers)
        val inventory = Examples.inventory.copy(databaseGroups = listOf(group))

        applyChange(RequestedChange("large", inventory))

        expectThat(stored().configuration).isEqualTo(Configuration(generation = 1, inventory))
        expectThat(platform.objects.values.maxOf { it.value.length })
            .isEqualTo(ConfigurationCodec.MAXIMUM_CHUNK_LENGTH)
    }

    private fun limit(connections: Int) = Rules(listOf(CallerRule(CallerName("tablet"), connections)))

    private fun applyChange(change: RequestedChange): EditResult {
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
