package dev.hibiscusreach.runtime.settings

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive

private const val DAY_MILLIS = 86_400_000L
private val placeholderEndpoint = Endpoint("", port = 0)

/** An integer setting within [range]. */
internal fun SectionReader.count(name: String, default: Int, range: IntRange): Int =
    number(name, default.toLong(), range.first.toLong()..range.last.toLong()).toInt()

/** A duration; the setting's name ends in its unit. */
internal fun SectionReader.millis(name: String, default: Millis): Millis =
    Millis(number("${name}Millis", default.value, 1L..DAY_MILLIS))

/** An enum setting; its values are written in lower case. */
internal fun <E : Enum<E>> SectionReader.choice(name: String, default: E, choices: List<E>): E {
    val text = text(name, default.name.lowercase())
    val choice = choices.find { it.name.lowercase() == text }
    if (choice == null) report(name, "must be one of ${choices.joinToString { it.name.lowercase() }}")
    return choice ?: default
}

/** An endpoint setting; a placeholder if it is missing or invalid, which is reported. */
internal fun SectionReader.endpoint(name: String): Endpoint {
    val text = text(name)
    val endpoint = EndpointText.parse(text)
    if (endpoint == null && text.isNotEmpty()) report(name, EndpointText.REQUIRED_FORMAT)
    return endpoint ?: placeholderEndpoint
}

/** A list of endpoints; invalid items are reported and left out. */
internal fun SectionReader.endpoints(name: String): List<Endpoint> {
    val value = value(name) ?: JsonArray(emptyList())
    if (value !is JsonArray) report(name, "must be a list in brackets")
    return (value as? JsonArray).orEmpty().mapIndexedNotNull { index, item ->
        val text = (item as? JsonPrimitive)?.takeIf { it.isString }?.content.orEmpty()
        EndpointText.parse(text).also { if (it == null) report("$name[$index]", EndpointText.REQUIRED_FORMAT) }
    }
}
