package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.standins.driver.CallerCall
import dev.hibiscusreach.standins.driver.CallerResult
import dev.hibiscusreach.standins.driver.StatementsBody
import dev.hibiscusreach.standins.network.WireJson
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable

@Command(
    name = "call",
    mixinStandardHelpOptions = true,
    description = ["Sends statements as one request and prints the answer as lines of NAME=VALUE."],
)
internal class CallCommand : Callable<Int> {
    @Mixin
    private lateinit var caller: CallerOptions

    @Option(names = ["--write"], description = ["The statements may change data."])
    private var write: Boolean = false

    @Option(names = ["--created-at-millis"], description = ["Creation time of a write; now by default."])
    private var createdAtMillis: Long? = null

    @Option(names = ["--maximum-age-millis"], description = ["Age that a read accepts."])
    private var maximumAgeMillis: Long? = null

    @Parameters(arity = "1..*", paramLabel = "STATEMENT")
    private lateinit var statements: List<String>

    override fun call(): Int {
        val body =
            StatementsBody(
                statements = statements.map { Statement(it) },
                access = if (write) "write" else "read",
                createdAtMillis = if (write) createdAtMillis ?: System.currentTimeMillis() else null,
                deadlineMillis = caller.deadlineMillis,
                maximumAgeMillis = maximumAgeMillis,
            )
        val result = caller.send(CallerCall(STATEMENTS, WireJson.encodeToString(StatementsBody.serializer(), body), ""))
        caller.print(result)
        return if (result is CallerResult.Completed) 0 else 1
    }

    private companion object {
        const val STATEMENTS = "statements"
    }
}
