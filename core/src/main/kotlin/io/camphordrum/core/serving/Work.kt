package io.camphordrum.core.serving

import io.camphordrum.core.Rendezvous

/**
 * Describes one request of a caller whose route, account and service are known.
 *
 * @property id identifies the request in logs.
 * @property base requested base model; null for plain services.
 * @property adapter requested adapter of [base]; null for the base model itself.
 * @property promptTokens tokens that an engine reads before the first event.
 * @property newTokens prompt tokens unique to this request, so that no engine can have cached them; 0 if unknown.
 * @property promptParts ids of the prompt's parts that other requests may share, in order.
 * @property spentBeforeMillis time between the first attempt of the caller and this one; 0 if this is the first.
 * @property deadlineNanos monotonic time by which the answer must be complete.
 */
public data class Work(
    public val id: String,
    public val route: ServingRoute,
    public val service: String,
    public val account: String?,
    public val priority: Int,
    public val base: String?,
    public val adapter: String?,
    public val promptTokens: Int,
    public val chargedTokens: Int,
    public val arrivedNanos: Long,
    public val deadlineNanos: Long,
    public val newTokens: Int = 0,
    public val promptParts: List<String> = emptyList(),
    public val spentBeforeMillis: Long = 0,
) {
    /** 64 bits that are uniformly distributed over requests. */
    internal val lot: Long get() = Rendezvous.mix(LOT_SEED, Rendezvous.hash(id))

    private companion object {
        const val LOT_SEED = 1L
    }
}
