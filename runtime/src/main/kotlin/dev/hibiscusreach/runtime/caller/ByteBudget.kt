package dev.hibiscusreach.runtime.caller

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes that the bodies of all requests may occupy together. Thread-safe. */
internal class ByteBudget(private val limit: Long) {
    private val used = AtomicLong()

    /** Reserves [size] bytes; returns false and reserves nothing if that would exceed the limit. */
    fun reserve(size: Int): Boolean {
        val available = used.addAndGet(size.toLong()) <= limit
        if (!available) release(size)
        return available
    }

    /** Releases [size] reserved bytes. */
    fun release(size: Int) {
        used.addAndGet(-size.toLong())
    }
}
