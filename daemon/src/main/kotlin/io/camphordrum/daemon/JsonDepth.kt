package io.camphordrum.daemon

/** Returns whether arrays and objects in [text] are nested at most [depth] deep; reads it without recursion. */
internal fun jsonNestsAtMost(text: String, depth: Int): Boolean {
    var open = 0
    var inString = false
    var index = 0
    while (index < text.length) {
        val char = text[index]
        when {
            inString && char == '\\' -> index++
            char == '"' -> inString = !inString
            inString -> Unit
            char == '{' || char == '[' -> if (++open > depth) return false
            char == '}' || char == ']' -> open--
        }
        index++
    }
    return true
}
