package io.camphordrum.daemon

/**
 * Accesses the platform's object API and its list of instances.
 *
 * Support for another platform needs only another implementation. All calls return at once; [onResult] runs on a
 * thread of the implementation and must not block.
 */
interface ObjectStore {
    /** Reads the object [name]. */
    fun read(name: String, onResult: (ReadResult) -> Unit)

    /** Replaces the object [name] if its version is still [version]; version 0 creates it. */
    fun write(name: String, value: ByteArray, version: Long, onResult: (WriteResult) -> Unit)

    /** Waits until an object whose name starts with [prefix] changes after [version], at most [timeoutMillis]. */
    fun watch(prefix: String, version: Long, timeoutMillis: Long, onResult: (WatchResult) -> Unit)

    /** Reads the list of instances, which can be out of date. */
    fun instances(onResult: (InstancesResult) -> Unit)
}

/** Represents the result of a read. */
sealed interface ReadResult {
    /** The object exists. */
    data class Found(val value: ByteArray, val version: Long) : ReadResult

    /** The object does not exist. */
    data object Missing : ReadResult

    /** The platform returned no usable response. */
    data class Unavailable(val reason: String) : ReadResult
}

/** Represents the result of a conditional write. */
sealed interface WriteResult {
    /** The write took effect. */
    data class Applied(val version: Long) : WriteResult

    /** The version did not match because of another write; nothing was changed. */
    data object Conflict : WriteResult

    /** No response was received; the write may or may not have taken effect. */
    data class Unknown(val reason: String) : WriteResult

    /** The platform certainly did not apply the write. */
    data class Unavailable(val reason: String) : WriteResult
}

/** Represents the result of a watch. */
sealed interface WatchResult {
    /**
     * Names and versions of the changed objects; empty after a timeout.
     *
     * @property version greatest version that could be read, also of an object that is left out, or 0.
     * @property oddCount number of objects left out because they cannot be read.
     */
    data class Changed(
        val versions: Map<String, Long>,
        val version: Long = versions.values.maxOrNull() ?: 0,
        val oddCount: Int = 0,
    ) : WatchResult

    /** The platform returned no usable response. */
    data class Unavailable(val reason: String) : WatchResult
}

/** Represents the result of reading the instance list. */
sealed interface InstancesResult {
    /** The platform's current list, which can be out of date. */
    data class Listed(val instances: List<ListedInstance>) : InstancesResult

    /** The platform returned no usable response. */
    data class Unavailable(val reason: String) : InstancesResult
}

/**
 * Describes one instance in the platform's list.
 *
 * @property fencing whether the endpoint rejects orders with a stale fencing token.
 */
@kotlinx.serialization.Serializable
data class ListedInstance(
    val id: String,
    val kind: String,
    val pool: String = "",
    val base: String = "",
    val dataCentre: String,
    val address: String,
    val state: String = "live",
    val fencing: Boolean = false,
)
