package io.camphordrum.core.load

/**
 * Holds what an endpoint states about itself in an answer.
 *
 * @property running requests that it runs.
 * @property waiting requests in its queue.
 * @property slots requests that it can run at once.
 * @property workPercent how long work takes on its machine at this moment, 100 as usual; null if it does not say.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val workPercent: Int? = null,
) {
    /** Whether an endpoint can be in this state; figures beyond these bounds count as absent. */
    public val isPlausible: Boolean
        get() = running in 0..MAX_REQUESTS &&
            waiting in 0..MAX_REQUESTS &&
            slots in 1..MAX_REQUESTS &&
            (workPercent == null || workPercent in 1..MAX_PERCENT)

    internal companion object {
        const val MAX_REQUESTS = 100_000
        const val MAX_PERCENT = 10_000
    }
}
