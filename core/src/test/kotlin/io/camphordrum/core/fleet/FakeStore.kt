package io.camphordrum.core.fleet

/** Stores versioned objects like the platform; [FleetStore] evaluates the failure flags at each call. */
class FakeStore {
    class Stored(val value: Any, val version: Long)

    private val objects = HashMap<String, Stored>()
    private var lastVersion = 0L

    var unavailable = false
    var answersToLose = 0
    var calls = 0

    fun read(name: String): Stored? = objects[name]

    /** Writes an object and returns its new version, or null on a conflict. */
    fun write(name: String, value: Any, expected: Long): Long? {
        if ((objects[name]?.version ?: 0) != expected) return null
        objects[name] = Stored(value, ++lastVersion)
        return lastVersion
    }
}
