package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId

/** Describes the decision about a request. */
public sealed interface Placement {
    /**
     * The request is sent to an endpoint.
     *
     * @property version adapter version that the endpoint must serve; null if none was announced.
     * @property expectedMillis expected time until the first part of the answer.
     * @property workMillis expected time of one unit of work at the endpoint, without waiting.
     * @property observedMillisAgo age of the newest observation of the endpoint; null if there is none.
     */
    public data class Send(
        public val endpoint: EndpointId,
        public val address: String,
        public val version: Int?,
        public val expectedMillis: Double,
        public val workMillis: Double = 0.0,
        public val observedMillisAgo: Long? = null,
    ) : Placement

    /** The request waits until [endpoint] holds its adapter. */
    public data class AwaitAdapter(public val endpoint: EndpointId, public val expectedMillis: Double) : Placement

    /**
     * The request is refused without having run; the caller may retry after [retryMillis].
     *
     * @property endpoint best endpoint, or null if there was none.
     * @property expectedMillis time until the first part of the answer expected at [endpoint].
     */
    public data class Refuse(
        public val reason: RefuseReason,
        public val retryMillis: Long,
        public val endpoint: EndpointId? = null,
        public val expectedMillis: Double? = null,
    ) : Placement
}

/** Names the reason why a request is refused without having run. */
public enum class RefuseReason {
    /** No configuration has been read yet. */
    NO_CONFIG,

    /** No endpoint of the service can accept requests. */
    NO_ENDPOINT,

    /** The first part of the answer would arrive too late. */
    BUSY,

    /** The adapter cannot be loaded in time. */
    NO_PLACE,

    /** The account is over its limit. */
    OVER_LIMIT,

    /** The prompt contains parts that have crashed endpoints. */
    BLOCKED_PROMPT,

    /** The answer would not be complete before this daemon stops. */
    STOPPING,

    /** Endpoints turned the request away without running it. */
    TURNED_AWAY,
}
