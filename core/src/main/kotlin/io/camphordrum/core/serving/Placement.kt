package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId

/** Says what to do with a request now. */
public sealed interface Placement {
    /**
     * The request goes to an endpoint.
     *
     * @property version adapter version that the endpoint must serve; null when none was announced.
     * @property expectedMillis time to the first part of the answer that was expected.
     */
    public data class Send(
        public val endpoint: EndpointId,
        public val address: String,
        public val version: Int?,
        public val expectedMillis: Double,
    ) : Placement

    /** The request waits until [endpoint] holds its adapter. */
    public data class AwaitAdapter(public val endpoint: EndpointId, public val expectedMillis: Double) : Placement

    /**
     * The request is refused and has not run; the caller may come back after [retryMillis].
     *
     * @property endpoint the best endpoint, where there was one, and the time that was expected there.
     */
    public data class Refuse(
        public val reason: RefuseReason,
        public val retryMillis: Long,
        public val endpoint: EndpointId? = null,
        public val expectedMillis: Double? = null,
    ) : Placement
}

/** Names why a request is refused without having run. */
public enum class RefuseReason {
    /** No configuration has been read yet. */
    NO_CONFIG,

    /** No endpoint of the service can take work. */
    NO_ENDPOINT,

    /** The first part of the answer would come too late. */
    BUSY,

    /** The adapter cannot be brought in time. */
    NO_PLACE,

    /** The account is over its limit. */
    OVER_LIMIT,

    /** Endpoints turned the request away without running it. */
    TURNED_AWAY,
}
