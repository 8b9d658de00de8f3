package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.Ok
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against forged or modified session tokens. */
class TokenSignerTest {
    private val signer = TokenSigner(ByteArray(32) { 1 })
    private val token = SessionToken(mapOf(DatabaseName("jobs") to Position(Term(3), index = 7)))

    @Test
    fun `a signed token is read back`() {
        expectThat(signer.verify(signer.sign(token))).isEqualTo(Ok(token))
    }

    @Test
    fun `a token signed with another key is refused`() {
        expectThat(signer.verify(TokenSigner(ByteArray(32) { 2 }).sign(token)).isErr).isTrue()
    }

    @Test
    fun `a changed token is refused`() {
        val signed = signer.sign(token)
        val changed = signed.replaceFirst(signed.first(), if (signed.first() == 'a') 'b' else 'a')
        expectThat(signer.verify(changed).isErr).isTrue()
    }

    @Test
    fun `texts that are not tokens are refused`() {
        for (text in listOf("", ".", "a.b", "no separator", "\u0000.\u0000", "é.é", signer.sign(token).dropLast(1))) {
            expectThat(signer.verify(text).isErr).describedAs(text).isTrue()
        }
    }
}
