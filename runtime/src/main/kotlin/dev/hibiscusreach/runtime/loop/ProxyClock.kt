package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.model.MonotonicTime
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** The sources of nondeterminism: time and randomness. Replacing them makes a run repeatable. */
interface ProxyClock {
    /** Monotonic time since the process started. */
    fun now(): MonotonicTime

    /** Time since the epoch by the host's clock. */
    fun wallClockMillis(): Long

    /** The next random number. */
    fun random(): Long
}

/** The clock of the host. */
class SystemClock : ProxyClock {
    private val origin = System.nanoTime()
    private val generator = Random(origin xor System.currentTimeMillis())

    override fun now(): MonotonicTime = MonotonicTime(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin))

    override fun wallClockMillis(): Long = System.currentTimeMillis()

    override fun random(): Long = generator.nextLong()
}
