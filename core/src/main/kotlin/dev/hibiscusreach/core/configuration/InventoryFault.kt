package dev.hibiscusreach.core.configuration

/** A reason why an inventory or its rules are rejected. */
data class InventoryFault(
    /** Kind and name of the faulty entry, such as `server jobs-1`. */
    val subject: String,
    /** What is wrong with it. */
    val problem: String,
) {
    override fun toString(): String = "$subject: $problem"
}
