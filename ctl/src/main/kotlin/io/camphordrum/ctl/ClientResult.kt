package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord

/** Represents the outcome of a request to a daemon. */
sealed interface ClientResult<out T> {
    /** The daemon returned [value]. */
    data class Success<T>(val value: T) : ClientResult<T>

    /** Another change was committed first; [winner] is that change, or null if the daemon did not return it. */
    data class Conflict(val winner: ChangeRecord?) : ClientResult<Nothing>

    /** The daemon rejected the request. */
    data class Refused(val message: String) : ClientResult<Nothing>

    /** The daemon could not be reached or could not execute the request at this time; nothing was changed. */
    data class Unavailable(val message: String) : ClientResult<Nothing>

    /** The outcome is unknown; the change may have taken effect. */
    data class Unknown(val message: String) : ClientResult<Nothing>
}

/** Applies [transform] to the value of a success and returns a failure unchanged. */
inline fun <T, R> ClientResult<T>.map(transform: (T) -> R): ClientResult<R> = when (this) {
    is ClientResult.Success -> ClientResult.Success(transform(value))
    is ClientResult.Conflict -> this
    is ClientResult.Refused -> this
    is ClientResult.Unavailable -> this
    is ClientResult.Unknown -> this
}
