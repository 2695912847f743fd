package io.camphordrum.daemon

/**
 * Reaches the platform's object API and its list of instances.
 *
 * Another platform needs one more implementation of this interface. All calls return at once; [onEnd] runs on a
 * thread of the implementation and must hand over without blocking.
 */
interface ObjectStore {
    /** Reads the object [name]. */
    fun read(name: String, onEnd: (ReadOutcome) -> Unit)

    /** Replaces the object [name] if its version is still [version]; version 0 creates it. */
    fun write(name: String, value: ByteArray, version: Long, onEnd: (WriteEnd) -> Unit)

    /** Waits until an object whose name starts with [prefix] changes after [version], at most [timeoutMillis]. */
    fun watch(prefix: String, version: Long, timeoutMillis: Long, onEnd: (WatchOutcome) -> Unit)

    /** Reads the lagging list of endpoints. */
    fun instances(onEnd: (InstancesOutcome) -> Unit)
}

/** Tells how a read ended. */
sealed interface ReadOutcome {
    /** The object exists. */
    data class Found(val value: ByteArray, val version: Long) : ReadOutcome

    /** There is no such object. */
    data object Missing : ReadOutcome

    /** The platform gave no usable answer. */
    data class Unavailable(val reason: String) : ReadOutcome
}

/** Tells how a conditional write ended. */
sealed interface WriteEnd {
    /** The write took effect. */
    data class Applied(val version: Long) : WriteEnd

    /** Another write came first; nothing was changed. */
    data object Conflict : WriteEnd

    /** No answer came; the write may or may not have taken effect. */
    data class Unknown(val reason: String) : WriteEnd

    /** The platform certainly did not take the write. */
    data class Unavailable(val reason: String) : WriteEnd
}

/** Tells how a watch ended. */
sealed interface WatchOutcome {
    /** The newest version below the prefix, and the names that changed. */
    data class Changed(val version: Long, val names: List<String>) : WatchOutcome

    /** The platform gave no usable answer. */
    data class Unavailable(val reason: String) : WatchOutcome
}

/** Tells how reading the instance list ended. */
sealed interface InstancesOutcome {
    /** The list as the platform knows it now; it lags. */
    data class Listed(val instances: List<ListedInstance>) : InstancesOutcome

    /** The platform gave no usable answer. */
    data class Unavailable(val reason: String) : InstancesOutcome
}

/**
 * One line of the platform's instance list.
 *
 * @property fencing whether the endpoint refuses orders with an old fencing number.
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
