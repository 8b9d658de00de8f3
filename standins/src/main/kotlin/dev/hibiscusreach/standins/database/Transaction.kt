package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position

/** Reads and buffered writes of one transaction. */
internal class Transaction(private val contents: DatabaseContents) {
    private val readVersions = HashMap<String, Position?>()
    private val writes = LinkedHashMap<String, String?>()

    /** The changes in the order of their first write. */
    val changes: List<KeyChange> get() = writes.map { (key, value) -> KeyChange(key, value) }

    /** The value of [key] as the transaction sees it. */
    fun read(key: String): String? {
        if (key in writes) return writes[key]
        val stored = contents.value(key)
        if (key !in readVersions) readVersions[key] = stored?.position
        return stored?.value
    }

    /** Buffers the new [value] of [key]; null deletes it. */
    fun write(key: String, value: String?) {
        writes[key] = value
    }

    /** Whether every key that was read still has the version that was read. */
    fun isValid(): Boolean = readVersions.all { (key, position) -> contents.value(key)?.position == position }
}
