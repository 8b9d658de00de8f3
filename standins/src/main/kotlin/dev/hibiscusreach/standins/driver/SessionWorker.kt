package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.standins.network.WireJson
import kotlin.random.Random

/** One session: sends one request after another and checks that it reads its own writes. */
internal class SessionWorker(
    private val number: Int,
    private val settings: DriveSettings,
    private val client: CallerClient,
    private val proxies: ProxyChoice,
    private val log: OperationLog,
) {
    private val random = Random(number)
    private val key = "${settings.run}/sign-offs/$number"
    private var proxy: Endpoint? = null
    private var token: String? = null
    private var requests = 0

    // Whether an attempt of the latest request may have run although no attempt was answered so.
    private var inDoubt = false

    /** What the session's counter should be. */
    val count = SignOffCount()

    /** Broken guarantees that the session has seen. */
    val violations = mutableListOf<String>()

    /** Runs one operation that was due at [dueNanos]. */
    fun runOne(dueNanos: Long) {
        if (random.nextInt(PERCENT) < settings.readPercent) {
            read(
                dueNanos,
                settings.maximumAgeMillis
            )
        } else {
            write(dueNanos)
        }
    }

    /** Reads the counter at the end of a run; null if it could not be read. */
    fun readFinal(): Long? = read(System.nanoTime(), maximumAgeMillis = 0)

    private fun read(dueNanos: Long, maximumAgeMillis: Long?): Long? {
        val body =
            StatementsBody(
                statements = listOf(Statement("get ?", listOf(key))),
                access = "read",
                deadlineMillis = settings.deadlineMillis,
                maximumAgeMillis = maximumAgeMillis,
            )
        val result = send(OperationKind.READ, body, dueNanos) as? CallerResult.Completed
        val value = result?.let { it.value?.toLong() ?: 0 }
        value?.let(count::violation)?.let { violations += "read of session $number: $it" }
        return value
    }

    private fun write(dueNanos: Long) {
        val body =
            StatementsBody(
                statements = listOf(Statement("add ? 1", listOf(key))),
                access = "write",
                createdAtMillis = System.currentTimeMillis(),
                deadlineMillis = settings.deadlineMillis,
            )
        val result = send(OperationKind.WRITE, body, dueNanos)
        if (result is CallerResult.Completed) acknowledge(result) else if (inDoubt) count.leaveUnresolved()
    }

    private fun acknowledge(result: CallerResult.Completed) {
        count.acknowledge()
        val value = result.value?.toLongOrNull()
        val problem = if (value == null) "no value returned" else count.violation(value)
        problem?.let { violations += "write of session $number: $it" }
    }

    // Sends the same request until it completes, is refused for good or the time for retries is over.
    private fun send(kind: OperationKind, body: StatementsBody, dueNanos: Long): CallerResult {
        val requestId = "${settings.run}-$number-${requests++}"
        val giveUpAt = System.nanoTime() + settings.retryForMillis * NANOS_PER_MILLI
        var due = dueNanos
        var move = random.nextInt(PERCENT) < settings.roamPercent
        inDoubt = false
        while (true) {
            val result = attempt(kind, call(body, requestId), due, move)
            inDoubt = isInDoubt(result)
            if (isFinal(result) || System.nanoTime() >= giveUpAt) return result
            Thread.sleep((result as? CallerResult.Refused)?.answer?.retryAfterMillis ?: RETRY_PAUSE_MILLIS)
            due = System.nanoTime()
            move = true
        }
    }

    // An attempt that is known not to have run does not clear the doubt about an earlier one; a cancellation does.
    private fun isInDoubt(result: CallerResult): Boolean =
        when (result) {
            is CallerResult.Completed -> false
            is CallerResult.Refused -> result.kind != CANCELLED && (inDoubt || !result.notRun)
            is CallerResult.Broken -> true
        }

    private fun isFinal(result: CallerResult): Boolean =
        result is CallerResult.Completed || (result is CallerResult.Refused && !result.mayRepeat)

    private fun call(body: StatementsBody, requestId: String): CallerCall =
        CallerCall(
            path = "${settings.database}/statements",
            body = WireJson.encodeToString(StatementsBody.serializer(), body),
            requestId = requestId,
            session = token,
            timeoutMillis = settings.deadlineMillis + ANSWER_MARGIN_MILLIS,
        )

    private fun attempt(kind: OperationKind, call: CallerCall, dueNanos: Long, move: Boolean): CallerResult {
        val target = proxies.choose(proxy, move, random)
        proxy = target
        val invoked = System.nanoTime()
        val result = client.send(target, call)
        val completed = result as? CallerResult.Completed
        token = completed?.answer?.session ?: token
        log.add(
            OperationRecord(
                session = number,
                requestId = call.requestId,
                kind = kind,
                dueNanos = dueNanos,
                invokedNanos = invoked,
                completedNanos = System.nanoTime(),
                outcome = result.label,
                server = completed?.answer?.server,
                value = completed?.value,
            )
        )
        return result
    }

    private companion object {
        const val PERCENT = 100
        val CANCELLED = ErrorKind.REQUEST_CANCELLED.label
        const val RETRY_PAUSE_MILLIS = 50L
        const val NANOS_PER_MILLI = 1_000_000L

        /** A proxy that answers at its deadline is not cut off by the driver's own time-out. */
        const val ANSWER_MARGIN_MILLIS = 1_000L
    }
}
