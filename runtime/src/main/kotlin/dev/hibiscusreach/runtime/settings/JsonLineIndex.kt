package dev.hibiscusreach.runtime.settings

/** Maps the paths of the values in a JSON text with comments to line numbers, for error messages. */
class JsonLineIndex(private val text: String) {
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
        scanner.skipTrivia()
        lines.putIfAbsent(path, scanner.line)
        when {
            depth > MAXIMUM_DEPTH -> scanner.moveToEnd()
            scanner.at('{') -> objectValue(path, depth)
            scanner.at('[') -> arrayValue(path, depth)
            scanner.at('"') -> scanner.readString()
            else -> scanner.skipScalar()
        }
    }

    private fun objectValue(path: String, depth: Int) {
        scanner.advance()
        scanner.skipTrivia()
        while (scanner.at('"')) {
            val keyLine = scanner.line
            val name = scanner.readString()
            val valuePath = if (path.isEmpty()) name else "$path.$name"
            lines.putIfAbsent(valuePath, keyLine)
            scanner.skipTrivia()
            scanner.accept(':')
            value(valuePath, depth + 1)
            separator()
        }
        scanner.accept('}')
    }

    private fun arrayValue(path: String, depth: Int) {
        scanner.advance()
        scanner.skipTrivia()
        var index = 0
        while (!scanner.isAtEnd && !scanner.at(']') && !scanner.at('}')) {
            value("$path[${index++}]", depth + 1)
            separator()
        }
        scanner.accept(']')
    }

    private fun separator() {
        scanner.skipTrivia()
        scanner.accept(',')
        scanner.skipTrivia()
    }

    private companion object {
        /** Bounds the recursion; no settings or inventory file is nested this deep. */
        const val MAXIMUM_DEPTH = 64
    }
}
