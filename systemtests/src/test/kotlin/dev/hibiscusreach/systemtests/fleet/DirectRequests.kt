package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.Statement

/** Sends single requests to chosen proxies and keeps the answers in the order in which they come. */
class DirectRequests(private val fleet: Fleet) {
    private var nextRequest = 0

    /** The first database of the deployment. */
    val database: DatabaseName =
        fleet.deployment.configuration.inventory.databaseGroups
            .first()
            .name

    /** All answers. */
    val answers = mutableListOf<CallerAnswer>()

    /** The token of the latest answer that had one. */
    var session = SessionToken()
        private set

    /** Sends a write that may not be repeated. */
    fun write(proxy: FakeProxy, text: String, onAnswer: (CallerAnswer) -> Unit = {}) =
        send(proxy, Deployment.STRICT_CALLER, statements(text, Access.WRITE), onAnswer)

    /** Sends a read that accepts no old data. */
    fun readNewest(proxy: FakeProxy, text: String, onAnswer: (CallerAnswer) -> Unit = {}) =
        send(proxy, Deployment.STRICT_CALLER, statements(text, Access.READ), onAnswer)

    /** Sends a read that accepts data of the stated age. */
    fun readAged(proxy: FakeProxy, text: String, onAnswer: (CallerAnswer) -> Unit = {}) =
        send(proxy, Deployment.RELAXED_CALLER, statements(text, Access.READ), onAnswer)

    /** Sends any request. */
    fun send(proxy: FakeProxy, caller: CallerName, body: RequestBody, onAnswer: (CallerAnswer) -> Unit = {}) {
        val request =
            CallerRequest(
                identifier = RequestIdentifier("direct-${nextRequest++}"),
                caller = caller,
                database = database,
                session = session,
                deadline = Millis(DEADLINE_MILLIS),
                body = body,
            )
        proxy.request(request) { answer ->
            if (answer is CallerAnswer.Completed) session = session.merge(answer.session)
            answers += answer
            onAnswer(answer)
        }
    }

    private fun statements(text: String, access: Access) =
        RequestBody.Statements(
            statements = listOf(Statement(text)),
            access = access,
            createdAtMillis = FakeProxy.WALL_CLOCK_START_MILLIS + fleet.schedule.nowMillis,
        )

    private companion object {
        const val DEADLINE_MILLIS = 2_000L
    }
}
