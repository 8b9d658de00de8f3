package dev.hibiscusreach.runtime.settings

/** An error in a file, with its line if that is known. */
data class SettingsFault(val line: Int?, val name: String, val message: String) {
    override fun toString(): String {
        val location = listOfNotNull(line?.let { "line $it" }, name.ifEmpty { null }).joinToString()
        return if (location.isEmpty()) message else "$location: $message"
    }
}
