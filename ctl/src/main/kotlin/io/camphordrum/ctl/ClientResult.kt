package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord

/** Tells how a request to a daemon ended. */
sealed interface ClientResult<out T> {
    /** The daemon answered with [value]. */
    data class Success<T>(val value: T) : ClientResult<T>

    /** Another change came first; [winner] is it, as far as the daemon tells. */
    data class Conflict(val winner: ChangeRecord?) : ClientResult<Nothing>

    /** The daemon refused the request. */
    data class Refused(val message: String) : ClientResult<Nothing>

    /** No daemon answered, or it could not do it now; nothing was changed. */
    data class Unavailable(val message: String) : ClientResult<Nothing>

    /** The change may have taken effect. */
    data class Unknown(val message: String) : ClientResult<Nothing>
}

/** Returns the success as [transform] makes it, or the same failure. */
inline fun <T, R> ClientResult<T>.map(transform: (T) -> R): ClientResult<R> = when (this) {
    is ClientResult.Success -> ClientResult.Success(transform(value))
    is ClientResult.Conflict -> this
    is ClientResult.Refused -> this
    is ClientResult.Unavailable -> this
    is ClientResult.Unknown -> this
}
