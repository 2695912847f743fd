package io.camphordrum.standins

import java.util.TreeMap
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

internal class StoredObject(val version: Long, val value: ByteArray)

/** Tells what a conditional write found: [version] is the object's version afterwards, 0 when it does not exist. */
internal class PutResult(val applied: Boolean, val version: Long)

/**
 * Holds versioned objects in memory.
 *
 * Each write takes the next number of one counter for the whole store as the version of its object. A watch on a prefix
 * therefore needs a single number.
 */
internal class ObjectStore {
    private class Watcher(val prefix: String, val after: Long, val answer: CompletableFuture<Map<String, Long>>)

    private val objects = TreeMap<String, StoredObject>()
    private val watchers = mutableListOf<Watcher>()

    @get:Synchronized
    var lastVersion = 0L
        private set

    @Synchronized
    fun get(name: String): StoredObject? = objects[name]

    @Synchronized
    fun all(): Map<String, StoredObject> = TreeMap(objects)

    @Synchronized
    fun changed(prefix: String, after: Long): Map<String, Long> =
        objects.filter { it.key.startsWith(prefix) && it.value.version > after }.mapValues { it.value.version }

    /** Writes when the object's version is [expected]; 0 expects that it does not exist. */
    fun put(name: String, expected: Long, value: ByteArray): PutResult {
        val ready: List<Watcher>
        val version: Long
        synchronized(this) {
            val current = objects[name]?.version ?: 0
            if (current != expected) return PutResult(false, current)
            version = ++lastVersion
            objects[name] = StoredObject(version, value)
            ready = watchers.filter { name.startsWith(it.prefix) }
            watchers.removeAll(ready)
        }
        for (watcher in ready) watcher.answer.complete(changed(watcher.prefix, watcher.after))
        return PutResult(true, version)
    }

    /** Completes with what changed after [after], or with nothing after [timeoutMillis]. */
    fun watch(prefix: String, after: Long, timeoutMillis: Long): CompletableFuture<Map<String, Long>> {
        val answer = CompletableFuture<Map<String, Long>>()
        synchronized(this) {
            val now = changed(prefix, after)
            if (now.isNotEmpty()) return CompletableFuture.completedFuture(now)
            watchers += Watcher(prefix, after, answer)
        }
        answer.completeOnTimeout(emptyMap(), timeoutMillis, TimeUnit.MILLISECONDS)
        return answer.whenComplete { _, _ -> synchronized(this) { watchers.removeIf { it.answer === answer } } }
    }
}
