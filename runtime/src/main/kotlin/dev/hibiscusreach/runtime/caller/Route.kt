package dev.hibiscusreach.runtime.caller

/** The resources of the caller endpoint, as path segments; null matches any name. */
internal enum class Route(private val method: String, private vararg val segments: String?) {
    STATEMENTS("POST", "v1", "databases", null, "statements"),
    BEGIN("POST", "v1", "databases", null, "transactions"),
    TRANSACTION_STATEMENTS("POST", "v1", "databases", null, "transactions", null, "statements"),
    COMMIT("POST", "v1", "databases", null, "transactions", null, "commit"),
    ROLLBACK("POST", "v1", "databases", null, "transactions", null, "rollback"),
    OUTCOME("GET", "v1", "databases", null, "outcomes", null),
    ;

    private fun matches(path: List<String>): Boolean =
        path.size == segments.size && path.indices.all { segments[it] == null || segments[it] == path[it] }

    companion object {
        /** Index of the database's name among the segments. */
        const val DATABASE: Int = 2

        /** Index of the transaction's identifier, or of a request's identifier in [OUTCOME]. */
        const val NAME: Int = 4

        /** Finds the route for a method and path; null if none matches. */
        fun of(method: String, path: List<String>): Route? =
            entries.find { it.method == method && it.matches(path) }
    }
}
