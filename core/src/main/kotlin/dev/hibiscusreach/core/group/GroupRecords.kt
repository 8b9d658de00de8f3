package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.model.DatabaseName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The platform's key of the group object of [database]. */
internal fun groupKey(database: DatabaseName): String = "group/$database"

/** Text form of the group objects. */
internal object GroupRecords {
    private val json = Json { ignoreUnknownKeys = true }

    fun encode(record: GroupRecord): String = json.encodeToString(GroupRecord.serializer(), record)

    /** The record, or null if [text] is none. */
    fun decode(text: String): GroupRecord? =
        try {
            json.decodeFromString(GroupRecord.serializer(), text)
        } catch (_: SerializationException) {
            null
        }
}
