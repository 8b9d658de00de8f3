package dev.hibiscusreach.daemon

import com.github.michaelbull.result.getOrElse
import dev.hibiscusreach.runtime.settings.DaemonSettings
import dev.hibiscusreach.runtime.settings.JsonText
import dev.hibiscusreach.runtime.settings.SettingsFile
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Reads the files that operators write. */
internal object InputFiles {
    /** The text of [file]. */
    fun text(file: Path): String =
        try {
            Files.readString(file)
        } catch (failure: NoSuchFileException) {
            invalidInput("$file: there is no such file (${failure.javaClass.simpleName})")
        } catch (failure: IOException) {
            invalidInput("$file: the file cannot be read: $failure")
        }

    /** The settings in [file]. */
    fun settings(file: Path): DaemonSettings =
        SettingsFile.parse(text(file)).getOrElse { faults -> invalidInput(describe(file, faults)) }

    /** The value of [serializer]'s type in [file], as JSON with comments. */
    fun <T> json(file: Path, serializer: KSerializer<T>): T {
        val text = text(file)
        return try {
            JsonText.json.decodeFromString(serializer, text)
        } catch (failure: SerializationException) {
            invalidInput(describe(file, listOf(JsonText.fault(text, failure))))
        }
    }

    /** One line for each fault. */
    fun describe(file: Path, faults: List<Any>): String = faults.joinToString("\n") { "$file: $it" }
}
