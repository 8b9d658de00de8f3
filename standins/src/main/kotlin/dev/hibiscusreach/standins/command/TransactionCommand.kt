package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.standins.driver.CallerCall
import dev.hibiscusreach.standins.driver.CallerResult
import dev.hibiscusreach.standins.driver.CommitBody
import dev.hibiscusreach.standins.driver.TransactionStatementsBody
import dev.hibiscusreach.standins.network.WireJson
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters
import java.util.UUID
import java.util.concurrent.Callable

@Command(
    name = "transaction",
    mixinStandardHelpOptions = true,
    description = ["Runs each statement as a request of one interactive transaction and commits it."],
)
internal class TransactionCommand : Callable<Int> {
    @Mixin
    private lateinit var caller: CallerOptions

    @Parameters(arity = "1..*", paramLabel = "STATEMENT")
    private lateinit var statements: List<String>

    override fun call(): Int {
        val result = run()
        caller.print(result)
        return if (result is CallerResult.Completed) 0 else 1
    }

    private fun run(): CallerResult {
        val begun = send("transactions", body = "{}")
        val transaction = (begun as? CallerResult.Completed)?.answer?.transaction ?: return begun
        val failed =
            statements
                .asSequence()
                .map { send("transactions/$transaction/statements", statement(it)) }
                .firstOrNull { it !is CallerResult.Completed }
        return failed ?: send("transactions/$transaction/commit", commit())
    }

    private fun send(path: String, body: String): CallerResult =
        caller.send(CallerCall(path, body, requestId = UUID.randomUUID().toString()))

    private fun statement(text: String): String =
        WireJson.encodeToString(
            TransactionStatementsBody.serializer(),
            TransactionStatementsBody(listOf(Statement(text))),
        )

    private fun commit(): String =
        WireJson.encodeToString(CommitBody.serializer(), CommitBody(System.currentTimeMillis()))
}
