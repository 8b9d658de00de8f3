package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand

/** Carries out the commands of interactive transactions. */
internal class TransactionExecutor(
    private val contents: DatabaseContents,
    private val sessions: SessionTable,
    private val writer: TransactionWriter,
    private val status: (Long) -> ServerStatus,
) {
    fun execute(session: Long, command: SessionCommand, now: Long): SessionAnswer =
        when (command) {
            is SessionCommand.Begin -> begin(session, command, now)
            is SessionCommand.Run -> run(session, command, now)
            is SessionCommand.Commit -> commit(session, command, now)
            else -> dropped(session, done(now))
        }

    private fun begin(session: Long, command: SessionCommand.Begin, now: Long): SessionAnswer =
        when {
            contents.log.last < command.minimumPosition -> SessionAnswer.Behind(status(now))
            sessions.transaction(session) != null -> SessionAnswer.Rejected(status(now), "a transaction is open")
            else -> {
                sessions.setTransaction(session, Transaction(contents))
                done(now)
            }
        }

    // Validating before each run as well as at commit keeps a transaction from seeing two different states.
    private fun run(session: Long, command: SessionCommand.Run, now: Long): SessionAnswer {
        val transaction = sessions.transaction(session)
        return when {
            transaction == null -> SessionAnswer.NoTransaction(status(now))
            !transaction.isValid() -> dropped(session, SessionAnswer.Conflict(status(now)))
            else -> runIn(transaction, session, command, now)
        }
    }

    private fun runIn(
        transaction: Transaction,
        session: Long,
        command: SessionCommand.Run,
        now: Long,
    ): SessionAnswer =
        when (val result = StatementLanguage.run(command.statements, transaction, mayWrite = true)) {
            is RunResult.Rejected -> dropped(session, SessionAnswer.Rejected(status(now), result.message))
            is RunResult.Completed -> SessionAnswer.Done(status(now), result.results, contents.log.last)
        }

    private fun commit(session: Long, command: SessionCommand.Commit, now: Long): SessionAnswer {
        val transaction = sessions.transaction(session)
        val earlier = writer.earlierAnswer(command.idempotencyKey, now)
        return when {
            earlier != null -> dropped(session, earlier)
            transaction == null -> SessionAnswer.NoTransaction(status(now))
            !transaction.isValid() -> dropped(session, SessionAnswer.Conflict(status(now)))
            else -> dropped(session, writer.write(transaction, command.idempotencyKey, emptyList(), now))
        }
    }

    private fun done(now: Long): SessionAnswer = SessionAnswer.Done(status(now), position = contents.log.last)

    private fun dropped(session: Long, answer: SessionAnswer): SessionAnswer {
        sessions.setTransaction(session, null)
        return answer
    }
}
