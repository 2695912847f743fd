package io.camphordrum.ctl

/**
 * Maps the keys of a JSON text with comments to their line numbers.
 *
 * ```kotlin
 * JsonLines.of(text)[listOf("accounts", "demo")] // 4
 * ```
 */
internal class JsonLines private constructor(private val text: String) {
    private val lines = HashMap<List<String>, Int>()
    private val duplicateKeys = ArrayList<Pair<List<String>, Int>>()
    private var position = 0
    private var line = 1

    /** Returns the line of the key at [path], or of its closest parent that has one, or 1. */
    operator fun get(path: List<String>): Int {
        var prefix = path
        while (prefix.isNotEmpty()) {
            lines[prefix]?.let { return it }
            prefix = prefix.dropLast(1)
        }
        return 1
    }

    /** Returns the paths and lines of repeated keys of an object; the parser would keep only the last value. */
    fun duplicateKeys(): List<Pair<List<String>, Int>> = duplicateKeys

    private fun scanValue(path: List<String>) {
        skipWhitespaceAndComments()
        when (text.getOrNull(position)) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> while (position < text.length && text[position] !in ",]}/ \t\r\n") position++
        }
    }

    private fun scanObject(path: List<String>) {
        position++
        while (true) {
            skipWhitespaceAndComments()
            if (text.getOrNull(position) != '"') break
            val keyLine = line
            val key = path + scanString()
            if (lines.put(key, keyLine) != null) duplicateKeys += key to keyLine
            skipWhitespaceAndComments()
            if (text.getOrNull(position) == ':') position++
            scanValue(key)
            skipWhitespaceAndComments()
            if (text.getOrNull(position) != ',') break
            position++
        }
        position++
    }

    private fun scanArray(path: List<String>) {
        position++
        while (position < text.length) {
            skipWhitespaceAndComments()
            if (text.getOrNull(position) == ']') break
            val start = position
            scanValue(path)
            skipWhitespaceAndComments()
            if (text.getOrNull(position) == ',') position++
            if (position == start) break
        }
        position++
    }

    private fun scanString(): String {
        val start = ++position
        while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
        return text.substring(start, minOf(position++, text.length))
    }

    private fun skipWhitespaceAndComments() {
        while (position < text.length) {
            val c = text[position]
            when {
                c == '\n' -> line++
                c.isWhitespace() -> Unit
                text.startsWith("//", position) -> {
                    position = text.indexOf('\n', position).let { if (it < 0) text.length else it }
                    continue
                }
                text.startsWith("/*", position) -> {
                    val end = text.indexOf("*/", position + 2).let { if (it < 0) text.length else it + 2 }
                    line += text.substring(position, end).count { it == '\n' }
                    position = end
                    continue
                }
                else -> return
            }
            position++
        }
    }

    companion object {
        /** Scans [text]; if it is not valid JSON, only the keys before the syntax error have lines. */
        fun of(text: String): JsonLines = JsonLines(text).apply { scanValue(emptyList()) }
    }
}
