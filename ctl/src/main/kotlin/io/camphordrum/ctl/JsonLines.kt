package io.camphordrum.ctl

/**
 * Finds the lines of the keys in a JSON text with comments.
 *
 * ```kotlin
 * JsonLines.of(text)[listOf("accounts", "demo")] // 4
 * ```
 */
internal class JsonLines private constructor(private val text: String) {
    private val lines = HashMap<List<String>, Int>()
    private val doubles = ArrayList<Pair<List<String>, Int>>()
    private var at = 0
    private var line = 1

    /** Returns the line of the key at [path], or of the nearest key above it. */
    operator fun get(path: List<String>): Int {
        var known = path
        while (known.isNotEmpty()) {
            lines[known]?.let { return it }
            known = known.dropLast(1)
        }
        return 1
    }

    /** Returns the keys that stand twice in their object; the parser would keep only the last of them. */
    fun doubles(): List<Pair<List<String>, Int>> = doubles

    private fun value(path: List<String>) {
        skip()
        when (text.getOrNull(at)) {
            '{' -> members(path)
            '[' -> elements(path)
            '"' -> string()
            else -> while (at < text.length && text[at] !in ",]}/ \t\r\n") at++
        }
    }

    private fun members(path: List<String>) {
        at++
        while (true) {
            skip()
            if (text.getOrNull(at) != '"') break
            val keyLine = line
            val key = path + string()
            if (lines.put(key, keyLine) != null) doubles += key to keyLine
            skip()
            if (text.getOrNull(at) == ':') at++
            value(key)
            skip()
            if (text.getOrNull(at) != ',') break
            at++
        }
        at++
    }

    private fun elements(path: List<String>) {
        at++
        while (at < text.length) {
            skip()
            if (text.getOrNull(at) == ']') break
            val before = at
            value(path)
            skip()
            if (text.getOrNull(at) == ',') at++
            if (at == before) break
        }
        at++
    }

    private fun string(): String {
        val start = ++at
        while (at < text.length && text[at] != '"') at += if (text[at] == '\\') 2 else 1
        return text.substring(start, minOf(at++, text.length))
    }

    private fun skip() {
        while (at < text.length) {
            val c = text[at]
            when {
                c == '\n' -> line++
                c.isWhitespace() -> Unit
                text.startsWith("//", at) -> {
                    at = text.indexOf('\n', at).let { if (it < 0) text.length else it }
                    continue
                }
                text.startsWith("/*", at) -> {
                    val end = text.indexOf("*/", at + 2).let { if (it < 0) text.length else it + 2 }
                    line += text.substring(at, end).count { it == '\n' }
                    at = end
                    continue
                }
                else -> return
            }
            at++
        }
    }

    companion object {
        /** Scans [text]; a text that is not JSON gives the lines before its fault. */
        fun of(text: String): JsonLines = JsonLines(text).apply { value(emptyList()) }
    }
}
