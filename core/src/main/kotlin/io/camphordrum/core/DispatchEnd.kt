package io.camphordrum.core

import io.camphordrum.core.once.RecordedAnswer

/** Tells how one dispatch to an endpoint ended. */
public sealed interface DispatchEnd {
    /**
     * The endpoint gave a whole and verified answer.
     *
     * @property usedTokens prompt and output tokens; [UNKNOWN_USAGE] when the endpoint did not state them.
     * @property answer null for streams, which have reached the caller already.
     * @property firstTokenNanos time from dispatch to the first part of the answer.
     */
    public data class Completed(val usedTokens: Long, val answer: RecordedAnswer?, val firstTokenNanos: Long) :
        DispatchEnd

    /** No byte reached the endpoint, or the endpoint refused the request before it ran. */
    public data class NotRun(val reason: String) : DispatchEnd

    /**
     * The request may have run in part or in full.
     *
     * @property reachedCaller whether the caller has already received a part of an answer.
     */
    public data class Failed(val reason: String, val usedTokens: Long, val reachedCaller: Boolean) : DispatchEnd

    /** The caller went away; [usedTokens] tokens had been produced. */
    public data class Cancelled(val usedTokens: Long) : DispatchEnd

    public companion object {
        /** Stands for a usage that the endpoint did not state; the full charge is kept then. */
        public const val UNKNOWN_USAGE: Long = -1L
    }
}
