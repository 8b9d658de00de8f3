package dev.hibiscusreach.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.model.Configuration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** A configuration as it is stored on the platform: the root and the chunks by their hash. */
data class EncodedConfiguration(val root: ConfigurationRoot, val chunks: Map<String, String>)

/** Why the platform's objects could not be decoded as a configuration. */
sealed interface ConfigurationDecodingError {
    /** A chunk that the root names is missing. */
    data class MissingChunk(val hash: String) : ConfigurationDecodingError

    /** A chunk's content does not have the hash under which it is stored. */
    data class WrongHash(val hash: String) : ConfigurationDecodingError

    /** The content is not the JSON of a configuration or of its root. */
    data class Malformed(val reason: String) : ConfigurationDecodingError
}

/** Converts between a [Configuration] and the objects in the platform's store. */
object ConfigurationCodec {
    /** Key of the root object. */
    const val ROOT_KEY: String = "configuration/root"

    /** Maximum characters of a chunk. With up to 4 bytes each it stays below the platform's limit of 1 MB. */
    const val MAXIMUM_CHUNK_LENGTH: Int = 64 * 1024

    /** Edit identifiers that the root keeps, so that an edit that is sent again is recognized. */
    const val RETAINED_IDENTIFIERS: Int = 64

    private val json = Json { ignoreUnknownKeys = true }

    /** Key of the chunk with [hash]. */
    fun chunkKey(hash: String): String = "configuration/chunk/$hash"

    /** Encodes [configuration]; the root keeps the latest [RETAINED_IDENTIFIERS] of [recentChanges]. */
    fun encode(configuration: Configuration, recentChanges: List<String>): EncodedConfiguration {
        val chunks = json.encodeToString(Configuration.serializer(), configuration).chunked(MAXIMUM_CHUNK_LENGTH)
        val root =
            ConfigurationRoot(
                generation = configuration.generation,
                chunkHashes = chunks.map(::hash),
                recentChanges = recentChanges.takeLast(RETAINED_IDENTIFIERS),
            )
        return EncodedConfiguration(root, chunks.associateBy(::hash))
    }

    /** Decodes the configuration of [root] from [chunks], which are stored by hash. */
    fun decode(
        root: ConfigurationRoot,
        chunks: Map<String, String>,
    ): Result<Configuration, ConfigurationDecodingError> {
        val missing = root.chunkHashes.find { it !in chunks }
        val wrong = root.chunkHashes.find { hash -> chunks[hash]?.let { hash(it) != hash } == true }
        return when {
            missing != null -> Err(ConfigurationDecodingError.MissingChunk(missing))
            wrong != null -> Err(ConfigurationDecodingError.WrongHash(wrong))
            else -> parse(root.chunkHashes.joinToString(separator = "") { chunks.getValue(it) })
        }
    }

    /** Encodes [root] as the value of the object with the key [ROOT_KEY]. */
    fun encodeRoot(root: ConfigurationRoot): String = json.encodeToString(ConfigurationRoot.serializer(), root)

    /** Decodes the root from the value of the object with the key [ROOT_KEY]. */
    fun decodeRoot(value: String): Result<ConfigurationRoot, ConfigurationDecodingError> =
        try {
            Ok(json.decodeFromString(ConfigurationRoot.serializer(), value))
        } catch (failure: SerializationException) {
            Err(ConfigurationDecodingError.Malformed(failure.message.orEmpty()))
        }

    private fun parse(text: String): Result<Configuration, ConfigurationDecodingError> =
        try {
            Ok(json.decodeFromString(Configuration.serializer(), text))
        } catch (failure: SerializationException) {
            Err(ConfigurationDecodingError.Malformed(failure.message.orEmpty()))
        }

    private fun hash(chunk: String): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(chunk.encodeToByteArray())
            .joinToString(separator = "") { "%02x".format(it) }
}
