package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.state.Session

/** Whether a statement may be sent, as far as its token is concerned. */
internal sealed class TokenRenewal {
    /** The statement of [session] may be sent. */
    data class Ready(val session: Session) : TokenRenewal()

    /** The statement has left the queue, and is sent when it has another token. */
    data object Awaited : TokenRenewal()

    /** The statement stays in the queue, since another one has just taken a token for the same connection. */
    data object Postponed : TokenRenewal()
}
