package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand

/** Carries out session commands whose term is not below the server's. */
internal class SessionExecutor(
    private val contents: DatabaseContents,
    private val terms: TermState,
    sessions: SessionTable,
    private val status: (Long) -> ServerStatus,
) {
    private val writer = TransactionWriter(contents, terms, status)
    private val transactions = TransactionExecutor(contents, sessions, writer, status)

    fun execute(session: Long, command: SessionCommand, now: Long): SessionAnswer =
        when {
            command.needsPrimary() && !terms.isPrimaryOf(command.term) -> SessionAnswer.WrongTerm(status(now))
            command is SessionCommand.Execute -> if (command.write) write(command, now) else read(command, now)
            command is SessionCommand.Resolve -> writer.resolve(command.identifier, now)
            else -> transactions.execute(session, command, now)
        }

    private fun read(command: SessionCommand.Execute, now: Long): SessionAnswer {
        if (contents.log.last < command.minimumPosition) return SessionAnswer.Behind(status(now))
        return when (val result = StatementLanguage.run(command.statements, Transaction(contents), mayWrite = false)) {
            is RunResult.Rejected -> SessionAnswer.Rejected(status(now), result.message)
            is RunResult.Completed -> SessionAnswer.Done(status(now), result.results, contents.log.last)
        }
    }

    private fun write(command: SessionCommand.Execute, now: Long): SessionAnswer =
        command.idempotencyKey?.let { writer.earlierAnswer(it, now) } ?: writeFirst(command, now)

    private fun writeFirst(command: SessionCommand.Execute, now: Long): SessionAnswer {
        val transaction = Transaction(contents)
        return when (val result = StatementLanguage.run(command.statements, transaction, mayWrite = true)) {
            is RunResult.Rejected -> SessionAnswer.Rejected(status(now), result.message)
            is RunResult.Completed -> writer.write(transaction, command.idempotencyKey, result.results, now)
        }
    }
}

private fun SessionCommand.needsPrimary(): Boolean =
    when (this) {
        is SessionCommand.Execute -> write
        is SessionCommand.Rollback, is SessionCommand.Reset -> false
        else -> true
    }
