package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall

/** In-memory platform with versioned objects and conditional updates; it can be unavailable or lose answers. */
internal class FakePlatform {
    var down = false
    var putAnswersToLose = 0
    var delay = 1L
    private val objects = mutableMapOf<String, PlatformAnswer.Found>()

    fun record(key: String): GroupRecord? = objects[key]?.let { GroupRecordCodec.decode(it.value) }

    fun answer(call: PlatformCall): PlatformAnswer =
        if (down) {
            PlatformAnswer.Failed("down")
        } else {
            when (call) {
                is PlatformCall.Get -> objects[call.key] ?: PlatformAnswer.Missing(call.key)
                is PlatformCall.Put -> put(call)
                else -> PlatformAnswer.Failed("not supported")
            }
        }

    private fun put(call: PlatformCall.Put): PlatformAnswer {
        val version = objects[call.key]?.version ?: 0
        if (version != call.expectedVersion) return PlatformAnswer.VersionConflict(call.key, version)
        objects[call.key] = PlatformAnswer.Found(call.key, call.value, version + 1)
        val lost = putAnswersToLose-- > 0
        return if (lost) PlatformAnswer.Failed("lost") else PlatformAnswer.Stored(call.key, version + 1)
    }
}
