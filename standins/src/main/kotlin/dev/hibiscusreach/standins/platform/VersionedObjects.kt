package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.PlatformAnswer

/** Objects by key; each update raises the version of its object by one, from 1. */
internal class VersionedObjects {
    private class Stored(val value: String, val version: Long)

    private val objects = HashMap<String, Stored>()

    /** The version of [key]; 0 if it does not exist. */
    fun version(key: String): Long = objects[key]?.version ?: 0

    /** The object of [key]. */
    fun get(key: String): PlatformAnswer =
        objects[key]?.let { PlatformAnswer.Found(key, it.value, it.version) } ?: PlatformAnswer.Missing(key)

    /** Stores [value] if the version of [key] is [expectedVersion]. */
    fun put(key: String, value: String, expectedVersion: Long): PlatformAnswer {
        val actual = version(key)
        if (actual != expectedVersion) return PlatformAnswer.VersionConflict(key, actual)
        objects[key] = Stored(value, actual + 1)
        return PlatformAnswer.Stored(key, actual + 1)
    }

    /** Sets [key] to an older state, as a restored backup does; the version still rises. */
    fun overwrite(key: String, value: String) {
        objects[key] = Stored(value, version(key) + 1)
    }
}
