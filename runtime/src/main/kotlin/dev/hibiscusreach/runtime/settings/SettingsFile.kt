package dev.hibiscusreach.runtime.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.hibiscusreach.core.model.FailureDomainName
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.util.Base64

/** Reads settings: JSON with comments, checked whole, with all faults reported at once. */
object SettingsFile {
    private const val MINIMUM_KEY_BYTES = 32

    /** The settings that [text] holds, or everything that is wrong with it. */
    fun parse(text: String): Result<DaemonSettings, List<SettingsFault>> =
        try {
            check(text, JsonText.json.parseToJsonElement(text))
        } catch (failure: SerializationException) {
            Err(listOf(JsonText.fault(text, failure)))
        }

    private fun check(text: String, root: JsonElement) =
        if (root is JsonObject) {
            read(root, JsonLineIndex(text))
        } else {
            Err(listOf(SettingsFault(line = 1, name = "", message = "the file must hold one section in braces")))
        }

    private fun read(root: JsonObject, lines: JsonLineIndex): Result<DaemonSettings, List<SettingsFault>> {
        val faults = mutableListOf<SettingsFault>()
        val reader = SectionReader(root, path = "") { name, message ->
            faults += SettingsFault(lines.lineOf(name).takeIf { message != "is missing" }, name, message)
        }
        val settings = read(reader)
        reader.reportUnknown()
        return if (faults.isEmpty()) Ok(settings) else Err(faults.sortedBy { it.line ?: 0 })
    }

    private fun read(reader: SectionReader): DaemonSettings =
        DaemonSettings(
            failureDomain = FailureDomainName(reader.text("failureDomain")),
            addresses = addresses(reader),
            tokenKey = tokenKey(reader),
            log = log(reader),
            callerLimits = CallerLimitsReader.read(reader),
            reducer = ReducerSettingsReader.read(reader),
        )

    private fun addresses(reader: SectionReader): AddressSettings {
        val addresses =
            AddressSettings(
                caller = reader.endpoint("callerAddress"),
                operations = reader.endpoint("operationsAddress"),
                peer = reader.endpoint("peerAddress"),
                platform = reader.endpoints("platformAddresses"),
                seeds = reader.endpoints("seedAddresses"),
            )
        if (addresses.peer.address in WILDCARDS) {
            reader.report("peerAddress", "must be the address at which other hosts reach this one")
        }
        if (addresses.platform.isEmpty()) reader.report("platformAddresses", "must have at least one address")
        return addresses
    }

    private fun tokenKey(reader: SectionReader): TokenKey {
        val text = reader.text("tokenKey")
        val key =
            try {
                Base64.getDecoder().decode(text)
            } catch (failure: IllegalArgumentException) {
                reader.report("tokenKey", "must be Base64: ${failure.message}")
                ByteArray(MINIMUM_KEY_BYTES)
            }
        if (text.isNotEmpty() && key.size < MINIMUM_KEY_BYTES) {
            reader.report("tokenKey", "must have at least $MINIMUM_KEY_BYTES bytes")
        }
        return TokenKey(key)
    }

    private fun log(reader: SectionReader): LogSettings =
        LogSettings(
            format = reader.choice("logFormat", LogFormat.TEXT, LogFormat.entries),
            threshold = reader.choice("logLevel", LogThreshold.INFO, LogThreshold.entries),
        )

    private val WILDCARDS = setOf("0.0.0.0", "::")
}

/** JSON with comments, as in all files that operators write. */
object JsonText {
    /** Refuses unknown keys. */
    @OptIn(ExperimentalSerializationApi::class)
    val json: Json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    private val offsetPattern = Regex("at offset (\\d+)")
    private val pathPattern = Regex("at path:? \\$\\.?([^\\s:]*)")

    /** The message of [failure] with the line that it is about. */
    fun fault(text: String, failure: SerializationException): SettingsFault {
        val message = failure.message.orEmpty().lineSequence().first()
        val lines = JsonLineIndex(text)
        val path = pathPattern.find(message)?.groupValues?.get(1).orEmpty()
        val offset = offsetPattern.find(message)?.groupValues?.get(1)?.toInt()
        return SettingsFault(offset?.let(lines::lineAt) ?: lines.lineOf(path), path, message)
    }
}
