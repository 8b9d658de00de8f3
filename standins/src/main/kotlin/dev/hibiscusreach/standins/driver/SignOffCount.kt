package dev.hibiscusreach.standins.driver

/** Expected range of one session's counter of sign-offs. */
internal class SignOffCount {
    /** Sign-offs that were acknowledged. */
    var acknowledged: Long = 0
        private set

    /** Sign-offs of unknown outcome, which may count later. */
    var unresolved: Long = 0
        private set

    /** Adds an acknowledged sign-off. */
    fun acknowledge() {
        acknowledged++
    }

    /** Adds a sign-off whose outcome could not be learned. */
    fun leaveUnresolved() {
        unresolved++
    }

    /** What is wrong with the counter being [value], or null. */
    fun violation(value: Long): String? =
        when {
            value < acknowledged -> "$value counted, $acknowledged acknowledged: lost or read too old"
            value > acknowledged + unresolved -> "$value counted, $acknowledged acknowledged: ran more than once"
            else -> null
        }
}
