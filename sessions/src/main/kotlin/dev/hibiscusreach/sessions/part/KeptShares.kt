package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.state.KeptSettings
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.SessionProxyState

/**
 * Divides the bytes that all sessions may keep. The first half is open to everybody; the second half is left to
 * sessions and addresses below their shares, so that a few of them cannot take all. While no other address keeps
 * bytes, an address may exceed its share up to three quarters.
 */
internal object KeptShares {
    private const val FULL_PERCENT = 100

    /** Part of the bytes above which the shares of addresses hold also while no other address keeps any. */
    private const val HIGH_PERCENT = 75

    /** Whether the session would have more than a share after [changed], which adds [added] bytes. */
    fun exceeds(state: SessionProxyState, changed: Session, added: Int): Boolean {
        val limits = state.settings.kept
        val isOpen = changed.keptBytes <= KeptSettings.FREE_BYTES || state.keptBytes + added <= limits.bytes / 2
        // A session may keep two messages of the maximum length; a single one is never refused for its share.
        val share = maxOf(share(limits, limits.sharePercent), limits.bytesPerSession / 2L + KeptState.ENTRY_BYTES)
        return !isOpen && (changed.keptBytes > share || exceedsOfOrigin(state, changed, added))
    }

    // Without sessions from other addresses there is nobody to leave bytes for. Idle ones have a quarter left.
    private fun exceedsOfOrigin(state: SessionProxyState, changed: Session, added: Int): Boolean {
        val origin = changed.origin ?: return false
        val limits = state.settings.kept
        val kept = state.keptByOrigin
        val bytes = kept.bytes(origin)
        val isHigh = state.keptBytes + added > share(limits, HIGH_PERCENT)
        val applies = kept.bytes > bytes || (isHigh && kept.hasOthers(origin))
        return applies && bytes + added > share(limits, limits.originSharePercent)
    }

    private fun share(limits: KeptSettings, percent: Int): Long = limits.bytes / FULL_PERCENT * percent
}
