package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.standins.database.DatabaseServerModel
import dev.hibiscusreach.standins.database.DatabaseServerSettings
import dev.hibiscusreach.standins.network.HttpEndpoint
import dev.hibiscusreach.standins.network.HttpExchange
import dev.hibiscusreach.standins.network.HttpRoutes
import dev.hibiscusreach.standins.network.WireJson
import dev.hibiscusreach.standins.network.withBody
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.JsonPrimitive
import java.util.concurrent.TimeUnit

/** A proxy with one server behind it, whose [defect] changes every tenth write. */
internal class StubProxy(private val defect: Defect = Defect.NONE) : HttpRoutes, AutoCloseable {
    enum class Defect { NONE, DROPS_ANSWERS, FORGETS_WRITES, IGNORES_IDENTIFIERS }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val model = DatabaseServerModel(DatabaseServerSettings(ServerName("a")))
    private val http = HttpEndpoint(group, Endpoint("127.0.0.1", 0), this)
    private var writes = 0
    val target = ProxyTarget(http.endpoint)

    init {
        val proposer = NodeIdentity(http.endpoint, startedAtMillis = 0, nonce = 0)
        model.control(0, ControlCommand.Fence(Term(1), proposer), 0)
        model.control(0, ControlCommand.Promote(Term(1), proposer), 0)
    }

    override fun handle(exchange: HttpExchange) =
        exchange.withBody(StatementsBody.serializer()) { body ->
            val write = body.access == "write"
            val tenth = write && writes++ % TENTH == 0
            when {
                tenth && defect == Defect.FORGETS_WRITES -> answer(
                    exchange,
                    SessionAnswer.Done(model.status(0), position = Position.ORIGIN)
                )
                tenth && defect == Defect.DROPS_ANSWERS -> run(body, exchange, write).also { exchange.drop() }
                tenth && defect == Defect.IGNORES_IDENTIFIERS -> run(
                    body,
                    exchange,
                    write
                ).also { answer(exchange, run(body, null, write)) }
                else -> answer(exchange, run(body, exchange, write))
            }
        }

    private fun run(body: StatementsBody, exchange: HttpExchange?, write: Boolean): SessionAnswer {
        val key = exchange?.request?.requestId?.takeIf { write }?.let { IdempotencyKey(RequestIdentifier(it), "f") }
        return model.execute(0, SessionCommand.Execute(Term(1), body.statements, write, Position.ORIGIN, key), 0)
    }

    private fun answer(exchange: HttpExchange, answer: SessionAnswer) {
        val body = AnswerBody(
            ran = JsonPrimitive("ran"),
            results = (answer as SessionAnswer.Done).results,
            server = "a"
        )
        exchange.respond(HttpResponseStatus.OK, WireJson.encodeToString(AnswerBody.serializer(), body))
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private companion object {
        const val TENTH = 10
    }
}
