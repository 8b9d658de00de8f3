package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.driver.CallerCall
import dev.hibiscusreach.standins.driver.CallerClient
import dev.hibiscusreach.standins.driver.CallerResult
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.time.Duration
import java.util.UUID

/** The options that all commands of a single caller have. */
internal class CallerOptions {
    @Spec(Spec.Target.MIXEE)
    private lateinit var spec: CommandSpec

    @Option(names = ["--proxy"], required = true, paramLabel = "HOST:PORT")
    private lateinit var proxy: Endpoint

    @Option(names = ["--database"], required = true)
    private lateinit var database: String

    @Option(names = ["--caller"], required = true)
    private lateinit var caller: String

    private val client by lazy { CallerClient(caller) }

    @Option(names = ["--session"], description = ["Token of an earlier answer."])
    private var session: String? = null

    @Option(names = ["--request-id"], description = ["Identifier of the request; a random one by default."])
    private var requestId: String = UUID.randomUUID().toString()

    @Option(names = ["--deadline-millis"], defaultValue = "5000")
    var deadlineMillis: Long = 0
        private set

    @Option(names = ["--wait-millis"], description = ["Time for which a request is repeated until it completes."])
    private var waitMillis: Long = 0

    /** Sends [call], whose path is relative to the database, under the request's identifier and session. */
    fun send(call: CallerCall): CallerResult {
        val complete =
            call.copy(
                path = "$database/${call.path}",
                requestId = call.requestId.ifEmpty { requestId },
                session = session,
                timeoutMillis = deadlineMillis + ANSWER_MARGIN_MILLIS,
            )
        val end = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos()
        var result = client.send(proxy, complete)
        while (mayComplete(result) && System.nanoTime() < end) {
            Thread.sleep(RETRY_PAUSE_MILLIS)
            result = client.send(proxy, complete)
        }
        return result
    }

    private fun mayComplete(result: CallerResult): Boolean =
        result is CallerResult.Broken || (result is CallerResult.Refused && result.mayRepeat)

    /** Prints [result] as lines of `NAME=VALUE`. */
    fun print(result: CallerResult) {
        val output = spec.commandLine().out
        output.println("outcome=${result.label}")
        when (result) {
            is CallerResult.Completed -> {
                output.println("value=${result.value.orEmpty()}")
                output.println("server=${result.answer.server.orEmpty()}")
                output.println("session=${result.answer.session.orEmpty()}")
                output.println("replayed=${result.answer.replayed}")
            }
            is CallerResult.Refused -> output.println("message=${result.message}")
            is CallerResult.Broken -> output.println("message=${result.reason}")
        }
    }

    private companion object {
        const val ANSWER_MARGIN_MILLIS = 1_000L
        const val RETRY_PAUSE_MILLIS = 100L
    }
}
