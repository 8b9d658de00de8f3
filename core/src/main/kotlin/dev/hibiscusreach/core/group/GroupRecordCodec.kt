package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.model.DatabaseName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The key under which the platform stores the group's object of [database]. */
internal fun groupKey(database: DatabaseName): String = "group/$database"

/** Converts a group's object to and from the JSON text that the platform stores. */
internal object GroupRecordCodec {
    private val json = Json { ignoreUnknownKeys = true }

    fun encode(record: GroupRecord): String = json.encodeToString(GroupRecord.serializer(), record)

    /** The record, or null if [text] is not a valid one. */
    fun decode(text: String): GroupRecord? =
        try {
            json.decodeFromString(GroupRecord.serializer(), text)
        } catch (_: SerializationException) {
            null
        }
}
