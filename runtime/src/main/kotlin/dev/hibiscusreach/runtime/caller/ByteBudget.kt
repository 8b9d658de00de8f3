package dev.hibiscusreach.runtime.caller

import java.util.concurrent.atomic.AtomicLong

/** Bounds the memory of all requests together. */
internal class ByteBudget(private val limit: Long) {
    private val used = AtomicLong()

    /** Takes [size] bytes; false if they are not available. */
    fun reserve(size: Int): Boolean {
        val available = used.addAndGet(size.toLong()) <= limit
        if (!available) release(size)
        return available
    }

    /** Returns [size] bytes. */
    fun release(size: Int) {
        used.addAndGet(-size.toLong())
    }
}
