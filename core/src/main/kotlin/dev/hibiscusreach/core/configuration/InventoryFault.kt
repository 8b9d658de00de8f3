package dev.hibiscusreach.core.configuration

/** Something in an inventory or in the rules that cannot be accepted. */
data class InventoryFault(
    /** The faulty entry, such as `server jobs-1`. */
    val subject: String,
    /** What is wrong with it. */
    val problem: String,
) {
    override fun toString(): String = "$subject: $problem"
}
