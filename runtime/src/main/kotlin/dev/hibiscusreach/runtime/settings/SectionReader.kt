package dev.hibiscusreach.runtime.settings

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Collects the faults of a file; [report] takes the name of the setting and a description of the fault. */
internal fun interface FaultCollector {
    fun report(name: String, message: String)
}

/** Reads one section of the settings. Faults are collected, and the default value is used in place of a faulty one. */
internal class SectionReader(
    private val section: JsonObject,
    private val path: String,
    private val faults: FaultCollector,
) {
    private val known = mutableSetOf<String>()

    fun section(name: String, read: (SectionReader) -> Unit) {
        val value = value(name) ?: JsonObject(emptyMap())
        if (value is JsonObject) {
            SectionReader(value, pathOf(name), faults).also(read).reportUnknown()
        } else {
            report(name, "must be a section in braces")
        }
    }

    fun text(name: String, default: String? = null): String {
        val value = value(name)
        return when {
            value is JsonPrimitive && value.isString -> value.content
            else -> default.orEmpty().also { missing(name, value, default, "must be a text in quotes") }
        }
    }

    fun number(name: String, default: Long, range: LongRange): Long {
        val value = value(name)
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        if (value != null && (number == null || number !in range)) {
            report(name, "must be a whole number from ${range.first} to ${range.last}")
        }
        return number ?: default
    }

    fun reportUnknown() {
        (section.keys - known).forEach { report(it, "is not a known setting; known here are ${known.sorted()}") }
    }

    fun report(name: String, message: String) = faults.report(pathOf(name), message)

    fun value(name: String): JsonElement? {
        known += name
        return section[name]
    }

    private fun missing(name: String, value: JsonElement?, default: String?, message: String) {
        when {
            value != null -> report(name, message)
            default == null -> report(name, "is missing")
        }
    }

    private fun pathOf(name: String) = if (path.isEmpty()) name else "$path.$name"
}
