package dev.hibiscusreach.standins.slopes

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

/** Adds up the processor time and the allocated bytes of this thread's measured blocks. */
internal class CostMeter {
    /** Processor time in nanoseconds. */
    var nanos = 0L
        private set

    /** Allocated bytes. */
    var bytes = 0L
        private set

    /** Measured blocks. */
    var count = 0L
        private set

    fun <T> measure(block: () -> T): T {
        val bytesBefore = threads.currentThreadAllocatedBytes
        val nanosBefore = threads.currentThreadCpuTime
        val result = block()
        nanos += threads.currentThreadCpuTime - nanosBefore
        bytes += threads.currentThreadAllocatedBytes - bytesBefore
        count++
        return result
    }

    companion object {
        private const val COLLECTIONS = 3

        // A field, because a local variable may stay reachable or be dropped early, as the compiler sees fit.
        @Volatile
        private var held: Any? = null
        private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

        /** Heap in bytes that only the result of [build] keeps alive. */
        fun retainedBytes(build: () -> Any): Double {
            val without = usedHeapAfterCollection()
            held = build()
            val with = usedHeapAfterCollection()
            held = null
            return (with - without).toDouble()
        }

        // A single explicit collection can leave objects with pending reference processing behind.
        @Suppress("ExplicitGarbageCollectionCall") // Retained heap cannot be told from garbage otherwise.
        private fun usedHeapAfterCollection(): Long {
            repeat(COLLECTIONS) { System.gc() }
            return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        }
    }
}
