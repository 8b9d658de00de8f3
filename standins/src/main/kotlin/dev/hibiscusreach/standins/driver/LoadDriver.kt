package dev.hibiscusreach.standins.driver

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** What a run has left behind. */
internal class DriveResult(
    val records: List<OperationRecord>,
    val acknowledged: Long,
    val unresolved: Long,
    /** Sum of all counters, or null if a counter could not be read. */
    val counted: Long?,
    val violations: List<String>,
) {
    /** Whether no acknowledged sign-off is lost, none counts twice and every session read its own writes. */
    val passed: Boolean get() = counted != null && violations.isEmpty()
}

/** Runs the sessions of one experiment, each on a thread of its own. */
internal class LoadDriver(private val settings: DriveSettings) {
    private val log = OperationLog()

    /** Runs the load and then checks the counters. */
    fun run(): DriveResult =
        ProxyChoice(settings.proxies).use { proxies ->
            val client = CallerClient(settings.caller)
            val workers = List(settings.sessions) { SessionWorker(it, settings, client, proxies, log) }
            val start = System.nanoTime()
            onThreads(workers) { index, worker -> drive(index, worker, start) }
            val records = log.all()
            val counters = onThreads(workers) { _, worker -> worker.readFinal() }
            DriveResult(
                records = records,
                acknowledged = workers.sumOf { it.count.acknowledged },
                unresolved = workers.sumOf { it.count.unresolved },
                counted = if (null in counters) null else counters.filterNotNull().sum(),
                violations = workers.flatMap { it.violations },
            )
        }

    // With a rate, an operation that is late counts from the time at which it was due, so that a stalled proxy
    // shows in the latencies of all operations that it delayed.
    private fun drive(index: Int, worker: SessionWorker, start: Long) {
        val end = start + TimeUnit.MILLISECONDS.toNanos(settings.durationMillis)
        val interval =
            if (settings.ratePerSecond == 0) 0 else NANOS_PER_SECOND * settings.sessions / settings.ratePerSecond
        var due = start + interval * index / settings.sessions
        while (due < end && System.nanoTime() < end) {
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime())
            worker.runOne(due)
            due = if (interval == 0L) System.nanoTime() else due + interval
        }
    }

    private fun <T> onThreads(workers: List<SessionWorker>, action: (Int, SessionWorker) -> T): List<T> {
        val threads = Executors.newFixedThreadPool(workers.size)
        try {
            val futures = workers.mapIndexed { index, worker -> threads.submit<T> { action(index, worker) } }
            return futures.map { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
