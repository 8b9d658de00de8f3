package dev.hibiscusreach.runtime.settings

/** A scanner for JSON with comments that tracks the line number. */
internal class JsonScanner(private val text: String) {
    private var offset = 0

    /** The line of the current character. */
    var line = 1
        private set

    val isAtEnd: Boolean get() = offset >= text.length

    /** Whether the current character is [character]. */
    fun at(character: Char): Boolean = !isAtEnd && text[offset] == character

    /** Advances past the current character. */
    fun advance() {
        if (at('\n')) line++
        offset++
    }

    /** Advances past [character] if it is the current one. */
    fun accept(character: Char) {
        if (at(character)) advance()
    }

    /** Moves to the end of the text. */
    fun moveToEnd() {
        offset = text.length
    }

    /** Reads a quoted string and returns its content without resolving escapes. */
    fun readString(): String {
        advance()
        val start = offset
        while (!isAtEnd && !at('"')) {
            if (at('\\')) advance()
            advance()
        }
        return text.substring(minOf(start, text.length), minOf(offset, text.length)).also { accept('"') }
    }

    /** Skips a number, boolean or null. */
    fun skipScalar() {
        while (!isAtEnd && text[offset] !in SCALAR_END) advance()
    }

    /** Skips white space and comments. */
    fun skipTrivia() {
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
