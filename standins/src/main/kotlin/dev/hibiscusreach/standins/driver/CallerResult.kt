package dev.hibiscusreach.standins.driver

/** What a caller learned from one attempt. */
internal sealed interface CallerResult {
    /** The request ran. */
    data class Completed(val answer: AnswerBody) : CallerResult {
        /** The first value of the last result that has rows. */
        val value: String?
            get() = answer.results.lastOrNull { it.rows.isNotEmpty() }?.rows?.first()?.firstOrNull()
    }

    /** The proxy refused the request. */
    data class Refused(val kind: String, val message: String, val answer: AnswerBody) : CallerResult {
        /** Whether the request is known not to have run. */
        val notRun: Boolean get() = answer.ran?.content == "not run"

        /** Whether sending the same request again can help. */
        val mayRepeat: Boolean get() = answer.retry != "never"
    }

    /** No complete answer came. */
    data class Broken(val reason: String) : CallerResult

    /** Name under which the result is counted. */
    val label: String
        get() =
            when (this) {
                is Completed -> "ok"
                is Refused -> kind
                is Broken -> "broken"
            }
}
