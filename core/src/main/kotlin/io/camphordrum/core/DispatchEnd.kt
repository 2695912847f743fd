package io.camphordrum.core

import io.camphordrum.core.once.RecordedAnswer

/** Describes how one dispatch to an endpoint ended. */
public sealed interface DispatchEnd {
    /**
     * Reports a complete and verified answer of the endpoint.
     *
     * @property usedTokens prompt and output tokens; [UNKNOWN_USAGE] when the endpoint did not report them.
     * @property answer null for streams, which the caller has already received.
     * @property firstTokenNanos time from dispatch to the first part of the answer.
     */
    public data class Completed(val usedTokens: Long, val answer: RecordedAnswer?, val firstTokenNanos: Long) :
        DispatchEnd

    /** Reports that no byte reached the endpoint, or that the endpoint refused the request before it ran. */
    public data class NotRun(val reason: String) : DispatchEnd

    /**
     * Reports a failure after which the request may have run in part or in full.
     *
     * @property reachedCaller whether the caller has already received a part of an answer.
     */
    public data class Failed(val reason: String, val usedTokens: Long, val reachedCaller: Boolean) : DispatchEnd

    /** Reports that the caller disconnected after [usedTokens] tokens had been produced. */
    public data class Cancelled(val usedTokens: Long) : DispatchEnd

    public companion object {
        /** Represents a token usage that the endpoint did not report; the full charge is kept in this case. */
        public const val UNKNOWN_USAGE: Long = -1L
    }
}
