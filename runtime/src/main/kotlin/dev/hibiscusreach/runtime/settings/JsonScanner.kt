package dev.hibiscusreach.runtime.settings

/** Walks through a JSON text with comments and counts its lines. */
internal class JsonScanner(private val text: String) {
    private var offset = 0

    /** The line of the current character. */
    var line = 1
        private set

    val isAtEnd: Boolean get() = offset >= text.length

    /** Whether the current character is [character]. */
    fun at(character: Char): Boolean = !isAtEnd && text[offset] == character

    /** Steps over the current character. */
    fun advance() {
        if (at('\n')) line++
        offset++
    }

    /** Steps over [character] if it is the current one. */
    fun accept(character: Char) {
        if (at(character)) advance()
    }

    /** Goes to the end of the text. */
    fun stop() {
        offset = text.length
    }

    /** Steps over a text in quotes and returns its content as written. */
    fun string(): String {
        advance()
        val start = offset
        while (!isAtEnd && !at('"')) {
            if (at('\\')) advance()
            advance()
        }
        return text.substring(minOf(start, text.length), minOf(offset, text.length)).also { accept('"') }
    }

    /** Steps over a number or a word. */
    fun scalar() {
        while (!isAtEnd && text[offset] !in SCALAR_END) advance()
    }

    /** Steps over white space and comments. */
    fun skip() {
        while (!isAtEnd) {
            when {
                text[offset].isWhitespace() -> advance()
                text.startsWith("//", offset) -> while (!isAtEnd && !at('\n')) advance()
                text.startsWith("/*", offset) -> skipBlockComment()
                else -> return
            }
        }
    }

    private fun skipBlockComment() {
        val end = text.indexOf("*/", offset + 2)
        val next = if (end < 0) text.length else end + 2
        while (offset < next) advance()
    }

    private companion object {
        const val SCALAR_END = ",]}\n/"
    }
}
