package io.camphordrum.core.fleet

/** Holds versioned objects like the platform does; the first failure flags are read at each call. */
class FakeStore {
    class Stored(val value: Any, val version: Long)

    private val objects = HashMap<String, Stored>()
    private var lastVersion = 0L

    var out = false
    var loseAnswers = 0
    var calls = 0

    fun read(name: String): Stored? = objects[name]

    /** Returns the new version, or null on a conflict. */
    fun write(name: String, value: Any, expected: Long): Long? {
        if ((objects[name]?.version ?: 0) != expected) return null
        objects[name] = Stored(value, ++lastVersion)
        return lastVersion
    }
}
