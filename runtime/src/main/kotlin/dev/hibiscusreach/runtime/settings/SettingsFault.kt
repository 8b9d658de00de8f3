package dev.hibiscusreach.runtime.settings

/** One thing that is wrong in a file. */
data class SettingsFault(val line: Int?, val name: String, val message: String) {
    override fun toString(): String {
        val place = listOfNotNull(line?.let { "line $it" }, name.ifEmpty { null }).joinToString()
        return if (place.isEmpty()) message else "$place: $message"
    }
}
