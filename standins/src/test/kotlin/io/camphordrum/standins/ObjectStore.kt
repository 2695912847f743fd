package io.camphordrum.standins

import java.util.TreeMap
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

internal class StoredObject(val version: Long, val value: ByteArray)

/** Result of a conditional write; [version] is the version of the object afterwards, 0 if it does not exist. */
internal class PutResult(val applied: Boolean, val version: Long)

/**
 * Holds versioned objects in memory.
 *
 * Each write sets the version of its object to the next value of a counter for the whole store. A watch on a prefix
 * therefore needs only one version.
 */
internal class ObjectStore {
    private class Watcher(val prefix: String, val afterVersion: Long, val result: CompletableFuture<Map<String, Long>>)

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
    fun changed(prefix: String, afterVersion: Long): Map<String, Long> =
        objects.filter { it.key.startsWith(prefix) && it.value.version > afterVersion }.mapValues { it.value.version }

    /** Writes [value] if the object has version [expectedVersion]; 0 means that it does not exist. */
    fun put(name: String, expectedVersion: Long, value: ByteArray): PutResult {
        val notified: List<Watcher>
        val version: Long
        synchronized(this) {
            val current = objects[name]?.version ?: 0
            if (current != expectedVersion) return PutResult(false, current)
            version = ++lastVersion
            objects[name] = StoredObject(version, value)
            notified = watchers.filter { name.startsWith(it.prefix) }
            watchers.removeAll(notified)
        }
        for (watcher in notified) watcher.result.complete(changed(watcher.prefix, watcher.afterVersion))
        return PutResult(true, version)
    }

    /** Returns the objects that changed since [afterVersion]; if there are none, waits up to [timeoutMillis]. */
    fun watch(prefix: String, afterVersion: Long, timeoutMillis: Long): CompletableFuture<Map<String, Long>> {
        val result = CompletableFuture<Map<String, Long>>()
        synchronized(this) {
            val changedObjects = changed(prefix, afterVersion)
            if (changedObjects.isNotEmpty()) return CompletableFuture.completedFuture(changedObjects)
            watchers += Watcher(prefix, afterVersion, result)
        }
        result.completeOnTimeout(emptyMap(), timeoutMillis, TimeUnit.MILLISECONDS)
        return result.whenComplete { _, _ -> synchronized(this) { watchers.removeIf { it.result === result } } }
    }
}
