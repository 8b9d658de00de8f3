package dev.hibiscusreach.core.membership

import com.github.michaelbull.result.get
import dev.hibiscusreach.core.configuration.ConfigurationCodec
import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.NodeIdentity

/** A call to the platform by [node]. */
internal data class RecordedCall(val node: NodeIdentity, val call: PlatformCall)

/** The platform's object store and host list in memory, with injected faults. */
internal class FakePlatform {
    val objects = mutableMapOf<String, PlatformAnswer.Found>()
    var hosts = listOf<ListedHost>()
    val calls = mutableListOf<RecordedCall>()
    var isDown = false

    /** Whether the answers to puts are lost; the puts take effect. */
    var dropsPutAnswers = false

    /** Stores [configuration] as an accepted edit of an operator. */
    fun store(configuration: Configuration, changes: List<String> = emptyList()) {
        val encoded = ConfigurationCodec.encode(configuration, changes)
        encoded.chunks.forEach { (hash, chunk) -> put(ConfigurationCodec.chunkKey(hash), chunk) }
        put(ConfigurationCodec.ROOT_KEY, ConfigurationCodec.encodeRoot(encoded.root))
    }

    fun callingNodes(isCounted: (PlatformCall) -> Boolean): Set<NodeIdentity> =
        calls.filter { isCounted(it.call) }.mapTo(mutableSetOf()) { it.node }

    fun storedGeneration(): Long? =
        objects[ConfigurationCodec.ROOT_KEY]?.let { ConfigurationCodec.decodeRoot(it.value).get()?.generation }

    /** The answer to [call], or null while the object of a watch is unchanged. */
    fun answer(call: PlatformCall): PlatformAnswer? =
        when {
            isDown -> PlatformAnswer.Failed("outage")
            call is PlatformCall.Get -> objects[call.key] ?: PlatformAnswer.Missing(call.key)
            call is PlatformCall.Watch -> objects[call.key]?.takeIf { it.version > call.afterVersion }
            call is PlatformCall.Put -> conditionalPut(call)
            else -> PlatformAnswer.Hosts(hosts)
        }

    private fun conditionalPut(call: PlatformCall.Put): PlatformAnswer {
        val version = objects[call.key]?.version ?: 0
        val isCurrent = version == call.expectedVersion
        if (isCurrent) put(call.key, call.value)
        return when {
            dropsPutAnswers -> PlatformAnswer.Failed("answer lost")
            isCurrent -> PlatformAnswer.Stored(call.key, version + 1)
            else -> PlatformAnswer.VersionConflict(call.key, version)
        }
    }

    private fun put(key: String, value: String) {
        objects[key] = PlatformAnswer.Found(key, value, version = (objects[key]?.version ?: 0) + 1)
    }
}
