package dev.hibiscusreach.standins.database

/** The open sessions of a server and their transactions. */
internal class SessionTable(private val limit: Int) {
    private val transactions = HashMap<Long, Transaction?>()

    /** Number of open sessions. */
    val size: Int get() = transactions.size

    /** Opens [session] unless the limit is reached. */
    fun open(session: Long): Boolean {
        if (session !in transactions && size >= limit) return false
        transactions.putIfAbsent(session, null)
        return true
    }

    /** Closes [session] and drops its transaction. */
    fun close(session: Long) {
        transactions.remove(session)
    }

    /** The open transaction of [session], or null. */
    fun transaction(session: Long): Transaction? = transactions[session]

    /** Replaces the transaction of [session]. */
    fun setTransaction(session: Long, transaction: Transaction?) {
        require(session in transactions) { "session $session is not open" }
        transactions[session] = transaction
    }

    /** Drops all transactions and keeps the sessions. */
    fun dropTransactions() {
        transactions.replaceAll { _, _ -> null }
    }
}
