package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Outcome
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.Statement
import kotlin.random.Random

/** One session that works in a closed loop and changes the proxy with each request. */
class TestClient(
    private val number: Int,
    private val caller: CallerName,
    private val database: DatabaseName,
    private val fleet: Fleet,
    private val history: History,
    private val mix: WorkloadMix,
) {
    private class Work(val kind: OperationKind, val key: String, val argument: Long, val invokedAt: Long)

    private val random = Random(fleet.random.nextLong())
    private val schedule = fleet.schedule
    private var session = SessionToken()
    private var nextRequest = 0
    private var nextOwnValue = 1L

    /** Whether the client starts no new operation. */
    var isStopping: Boolean = false

    /** Whether an operation is not finished. */
    var isBusy: Boolean = false
        private set

    /** Starts the loop. */
    fun start() {
        schedule.afterMillis(random.nextLong(1, mix.maximumPauseMillis), ::next)
    }

    private fun next() {
        if (isStopping) return
        isBusy = true
        val kind = mix.choose(random)
        val key = keyFor(kind)
        val argument = if (kind == OperationKind.PUT) nextOwnValue++ else 1L
        val work = Work(kind, key, argument, schedule.nowMicros)
        send(work, request(work), isResent = false)
    }

    private fun keyFor(kind: OperationKind): String =
        when (kind) {
            OperationKind.ADD, OperationKind.STRICT_GET -> "counter-${random.nextInt(mix.counters)}"
            OperationKind.PUT -> "own-$number"
            OperationKind.AGED_GET -> if (random.nextBoolean()) "own-$number" else "own-${random.nextInt(mix.clients)}"
        }

    private fun request(work: Work): CallerRequest {
        val (text, access) =
            when (work.kind) {
                OperationKind.ADD -> "add ${work.key} 1" to Access.WRITE
                OperationKind.PUT -> "put ${work.key} ${work.argument}" to Access.WRITE
                OperationKind.STRICT_GET, OperationKind.AGED_GET -> "get ${work.key}" to Access.READ
            }
        return CallerRequest(
            identifier = RequestIdentifier("client-$number-${nextRequest++}"),
            caller = caller,
            database = database,
            session = session,
            deadline = Millis(DEADLINE_MILLIS),
            body =
            RequestBody.Statements(
                statements = listOf(Statement(text)),
                access = access,
                createdAtMillis = FakeProxy.WALL_CLOCK_START_MILLIS + schedule.nowMillis,
                maximumAgeMillis = if (work.kind == OperationKind.STRICT_GET) 0 else null,
            ),
        )
    }

    private fun send(work: Work, request: CallerRequest, isResent: Boolean) {
        var isOpen = true
        val finish = { answer: CallerAnswer? ->
            if (isOpen) {
                isOpen = false
                handle(work, request, answer, isResent)
            }
        }
        val proxy = chooseProxy()
        if (proxy != null) {
            schedule.after(Deployment.CLIENT_LATENCY_MICROS) {
                proxy.request(request) { answer ->
                    schedule.after(Deployment.CLIENT_LATENCY_MICROS) { finish(answer) }
                }
            }
        }
        schedule.afterMillis(DEADLINE_MILLIS + NETWORK_ALLOWANCE_MILLIS) { finish(null) }
    }

    private fun chooseProxy(): FakeProxy? =
        fleet
            .running()
            .filter { it.state.drainPhase == DrainPhase.SERVING }
            .randomOrNull(random)

    private fun handle(work: Work, request: CallerRequest, answer: CallerAnswer?, isResent: Boolean) {
        when (answer) {
            is CallerAnswer.Completed -> complete(work, answer)
            is CallerAnswer.Refused -> refused(work, request, answer, isResent)
            null -> unanswered(work, request)
        }
    }

    private fun complete(work: Work, answer: CallerAnswer.Completed) {
        session = session.merge(answer.session)
        val value = answer.results.firstOrNull()?.rows?.firstOrNull()?.firstOrNull()?.toLongOrNull()
        history.add(
            Operation(
                client = number,
                caller = caller,
                kind = work.kind,
                key = work.key,
                argument = work.argument,
                invokedAt = work.invokedAt,
                completedAt = schedule.nowMicros,
                value = value,
            ),
        )
        pause()
    }

    private fun refused(work: Work, request: CallerRequest, answer: CallerAnswer.Refused, isResent: Boolean) {
        history.refuse(answer.kind.label)
        val isWrite = work.kind == OperationKind.ADD || work.kind == OperationKind.PUT
        when {
            !isWrite || answer.kind == ErrorKind.REQUEST_CANCELLED -> pause()
            // After an unknown outcome only an answer to the same identifier settles it.
            isResent || answer.kind.outcome != Outcome.NOT_RUN -> resend(work, request)
            else -> pause()
        }
    }

    private fun unanswered(work: Work, request: CallerRequest) {
        history.refuse("no answer")
        val isWrite = work.kind == OperationKind.ADD || work.kind == OperationKind.PUT
        if (isWrite) resend(work, request) else pause()
    }

    private fun resend(work: Work, request: CallerRequest) {
        schedule.afterMillis(RESEND_PAUSE_MILLIS) { send(work, request, isResent = true) }
    }

    private fun pause() {
        isBusy = false
        schedule.afterMillis(random.nextLong(1, mix.maximumPauseMillis), ::next)
    }

    private companion object {
        const val DEADLINE_MILLIS = 2_000L
        const val NETWORK_ALLOWANCE_MILLIS = 500L
        const val RESEND_PAUSE_MILLIS = 200L
    }
}
