package dev.hibiscusreach.standins.slopes

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import java.lang.ref.Reference

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
        private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

        /** Heap in bytes that only the result of [build] keeps alive. */
        fun retainedBytes(build: () -> Any): Double {
            var held: Any? = build()
            val before = usedHeapAfterCollection()
            Reference.reachabilityFence(held)
            held = null
            return (before - usedHeapAfterCollection()).toDouble()
        }

        // A single explicit collection can leave objects with pending reference processing behind.
        @Suppress("ExplicitGarbageCollectionCall") // Retained heap cannot be told from garbage otherwise.
        private fun usedHeapAfterCollection(): Long {
            repeat(COLLECTIONS) { System.gc() }
            return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        }
    }
}
