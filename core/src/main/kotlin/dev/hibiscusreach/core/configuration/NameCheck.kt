package dev.hibiscusreach.core.configuration

/** Validates names; the permitted characters depend on where a name is used. */
internal object NameCheck {
    private const val MAXIMUM_LENGTH = 128

    private val KEY = Regex("[A-Za-z0-9_-][A-Za-z0-9._-]*")
    private val HEADER = Regex("[!-~]+")

    /** Names that are only shown, such as in logs. */
    fun printable(kind: String, name: String): List<InventoryFault> =
        check(kind, name, name.isNotBlank() && name.none { it.isISOControl() }, "a name must have printable characters")

    /** Names that are part of a URL path and of a key in the platform's store. */
    fun key(kind: String, name: String): List<InventoryFault> =
        check(
            kind,
            name,
            KEY.matches(name),
            "a name may have the characters A-Z a-z 0-9 . _ - and must not start with a dot"
        )

    /** Names that are sent as the value of an HTTP header. */
    fun header(kind: String, name: String): List<InventoryFault> =
        check(kind, name, HEADER.matches(name), "a name may have ASCII characters without spaces only")

    private fun check(kind: String, name: String, isValid: Boolean, problem: String): List<InventoryFault> {
        val shown = name.filterNot { it.isISOControl() }.take(MAXIMUM_LENGTH)
        val subject = "$kind \"$shown\""
        return faultIf(!isValid, subject, problem) +
            faultIf(name.length > MAXIMUM_LENGTH, subject, "the name has more than $MAXIMUM_LENGTH characters")
    }
}
