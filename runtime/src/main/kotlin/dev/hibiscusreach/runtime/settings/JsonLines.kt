package dev.hibiscusreach.runtime.settings

/** Finds the lines of the values of a JSON text with comments, for messages about them. */
class JsonLines(private val text: String) {
    private val lines = HashMap<String, Int>()
    private val scanner = JsonScanner(text)

    init {
        value(path = "", depth = 0)
    }

    /** The line of the value at [path], such as `servers[2].port`, or of the nearest value around it. */
    fun lineOf(path: String): Int? {
        val around = generateSequence(path) { parent(it) }
        return around.firstNotNullOfOrNull { lines[it] }
    }

    /** The line of the character at [offset]. */
    fun lineAt(offset: Int): Int = 1 + text.take(offset).count { it == '\n' }

    private fun parent(path: String): String? =
        if (path.isEmpty()) null else path.substring(0, maxOf(0, path.lastIndexOfAny(charArrayOf('.', '['))))

    private fun value(path: String, depth: Int) {
        scanner.skip()
        lines.putIfAbsent(path, scanner.line)
        when {
            depth > MAXIMUM_DEPTH -> scanner.stop()
            scanner.at('{') -> objectValue(path, depth)
            scanner.at('[') -> arrayValue(path, depth)
            scanner.at('"') -> scanner.string()
            else -> scanner.scalar()
        }
    }

    private fun objectValue(path: String, depth: Int) {
        scanner.advance()
        scanner.skip()
        while (scanner.at('"')) {
            val keyLine = scanner.line
            val name = scanner.string()
            val valuePath = if (path.isEmpty()) name else "$path.$name"
            lines.putIfAbsent(valuePath, keyLine)
            scanner.skip()
            scanner.accept(':')
            value(valuePath, depth + 1)
            separator()
        }
        scanner.accept('}')
    }

    private fun arrayValue(path: String, depth: Int) {
        scanner.advance()
        scanner.skip()
        var index = 0
        while (!scanner.isAtEnd && !scanner.at(']') && !scanner.at('}')) {
            value("$path[${index++}]", depth + 1)
            separator()
        }
        scanner.accept(']')
    }

    private fun separator() {
        scanner.skip()
        scanner.accept(',')
        scanner.skip()
    }

    private companion object {
        /** Deeper than any file of the product; bounds the recursion. */
        const val MAXIMUM_DEPTH = 64
    }
}
