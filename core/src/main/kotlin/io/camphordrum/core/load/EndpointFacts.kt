package io.camphordrum.core.load

/**
 * Counts what one or more daemons observed at one endpoint in the last notice interval.
 *
 * @property units answers of a plain service, or events of streams of an engine, whose time was measured.
 * @property millis time of these units.
 * @property ended requests that the endpoint answered, whether or not with success.
 * @property failed those of [ended] that failed or were turned away.
 */
internal data class Observations(val units: Int = 0, val millis: Int = 0, val ended: Int = 0, val failed: Int = 0) {
    val isEmpty: Boolean get() = units == 0 && ended == 0
}

/**
 * Tracks how long work takes and how often it fails at one endpoint, as observed by all daemons together.
 *
 * The time of a unit of work is estimated at three levels, each the starting point of the next: the mean of the service,
 * the mean of this endpoint over some seconds, and the last quarter of a second. Older observations lose their weight,
 * so an endpoint that gets no requests because it was slow or failed is expected to be like the others after a while
 * and gets requests again.
 */
internal class EndpointFacts {
    private val usual = Evidence(USUAL_HALF_LIFE_NANOS)
    private val recent = Evidence(RECENT_HALF_LIFE_NANOS)
    private val failures = Evidence(FAILURE_HALF_LIFE_NANOS)
    private val percents = Evidence(USUAL_HALF_LIFE_NANOS)
    private var own = Observations()
    private var ownMillis = 0.0
    private var reportedNanos = Long.MIN_VALUE / 2
    private var reported: ReportedLoad? = null
    private var percentNanos = Long.MIN_VALUE / 2
    private var percent: Int? = null
    private var startingUntilNanos = Long.MIN_VALUE / 2
    private var estimatedMillis = 0.0
    private var estimatedNanos = Long.MIN_VALUE / 2

    /** When an observation of this or another daemon was last added; null before the first. */
    val lastNanos: Long? get() = usual.lastNanos

    /** Records a unit of work that took [millis]. */
    fun recordWork(now: Long, millis: Double, common: Double) {
        // One request that took exceptionally long says little about the next.
        val bounded = millis.coerceIn(0.0, common * MAX_RATIO)
        addWork(now, 1.0, bounded)
        // Nobody takes the counts of a daemon that is alone.
        if (own.units >= MAX_UNITS) takeOwn()
        ownMillis += bounded
        own = own.copy(units = own.units + 1, millis = ownMillis.toInt())
    }

    /** Records the end of a request. */
    fun recordEnd(now: Long, failed: Boolean) {
        failures.add(now, 1.0, if (failed) 1.0 else 0.0)
        if (own.ended >= MAX_UNITS) takeOwn()
        own = own.copy(ended = own.ended + 1, failed = own.failed + if (failed) 1 else 0)
    }

    /** Records what the endpoint states about itself. */
    fun recordReported(now: Long, load: ReportedLoad) {
        reported = load
        reportedNanos = now
        load.workPercent?.let { recordPercent(now, it) }
    }

    /** Records how long work takes on the endpoint's machine, as it states itself, 100 as usual. */
    fun recordPercent(now: Long, stated: Int) {
        val before = percent
        // Observations from before a change say nothing about the time after it.
        if (before != null && maxOf(stated, before) > minOf(stated, before) * CHANGE_RATIO) recent.clear()
        percent = stated
        percentNanos = now
        percents.add(now, 1.0, stated.toDouble())
        estimatedNanos = Long.MIN_VALUE / 2
    }

    /** Returns how long work takes as last stated; null if that is too long ago. */
    fun reportedPercent(now: Long): Int? = percent?.takeIf { freshness(now, percentNanos) > 0 }

    /** Adds what other daemons observed; [common] is the time of a unit at the endpoints of the service. */
    fun add(now: Long, others: Observations, common: Double) {
        if (others.units > 0 && others.millis >= 0) {
            val units = minOf(others.units, MAX_UNITS)
            addWork(now, units.toDouble(), others.millis.toDouble().coerceAtMost(units * common * MAX_RATIO))
        }
        if (others.ended > 0) {
            val ended = minOf(others.ended, MAX_UNITS)
            failures.add(now, ended.toDouble(), others.failed.coerceIn(0, ended).toDouble())
        }
    }

    /** Returns what this daemon observed since the last call. */
    fun takeOwn(): Observations {
        val taken = own
        own = Observations()
        ownMillis = 0.0
        return taken
    }

    /** Whether this daemon observed anything since the last notice. */
    val hasOwn: Boolean get() = !own.isEmpty

    /** Returns the expected milliseconds of a unit of work, given [common], those at the endpoints of the service. */
    fun workMillis(now: Long, common: Double): Double {
        // One placement reads this several times for each endpoint.
        if (now - estimatedNanos !in 0..ESTIMATE_MAX_AGE_NANOS) {
            estimatedMillis = estimateWorkMillis(now, common)
            estimatedNanos = now
        }
        return estimatedMillis
    }

    private fun estimateWorkMillis(now: Long, common: Double): Double {
        val starting = if (now < startingUntilNanos) STARTING_FACTOR else 1.0
        val usualMillis = usual.mean(now, common * starting, USUAL_PRIOR_COUNT)
        return recent.mean(now, usualMillis * reportedRatio(now), RECENT_PRIOR_COUNT)
    }

    /** Returns the part of the recent requests that failed, given [common], that at the endpoints of the service. */
    fun failureRate(now: Long, common: Double): Double = failures.mean(now, common, FAILURE_PRIOR_COUNT)

    /** Returns the requests that the endpoint itself stated to run or queue; 0 once the statement is too old. */
    fun reportedRequests(now: Long): Double =
        reported?.let { (it.running + it.waiting) * freshness(now, reportedNanos) } ?: 0.0

    /** Forgets everything about the earlier start of an endpoint that has restarted. */
    fun restart(now: Long) {
        for (evidence in listOf(usual, recent, failures, percents)) evidence.clear()
        reported = null
        percent = null
        markStarting(now)
    }

    /** Expects work to take longer for a while, because an endpoint is slow just after its start. */
    fun markStarting(now: Long) {
        startingUntilNanos = now + STARTING_NANOS
        estimatedNanos = Long.MIN_VALUE / 2
    }

    private fun addWork(now: Long, units: Double, millis: Double) {
        estimatedNanos = Long.MIN_VALUE / 2
        usual.add(now, units, millis)
        recent.add(now, units, millis)
    }

    // The endpoint's own statement is only where the estimate starts, so that one that is false loses to its answers.
    // What counts is how far it differs from its usual value, so that a constant false value has no effect.
    private fun reportedRatio(now: Long): Double {
        val stated = percent ?: return 1.0
        val ratio = stated / percents.mean(now, USUAL_PERCENT, PERCENT_PRIOR_COUNT)
        return (1 + (ratio - 1) * freshness(now, percentNanos)).coerceIn(1 / MAX_REPORTED_RATIO, MAX_REPORTED_RATIO)
    }

    private fun freshness(now: Long, atNanos: Long): Double =
        (1 - maxOf(0L, now - atNanos) / REPORTED_MAX_AGE_NANOS).coerceAtLeast(0.0)

    private companion object {
        // Spans a few hundred answers of a busy endpoint; one that turned slow is tried again after some seconds.
        const val USUAL_HALF_LIFE_NANOS = 6e9

        // One notice interval.
        const val RECENT_HALF_LIFE_NANOS = 250e6
        const val FAILURE_HALF_LIFE_NANOS = 2e9

        // Observations that outweigh the starting point of each level.
        const val USUAL_PRIOR_COUNT = 4.0
        const val RECENT_PRIOR_COUNT = 6.0
        const val FAILURE_PRIOR_COUNT = 4.0
        const val PERCENT_PRIOR_COUNT = 1.0
        const val USUAL_PERCENT = 100.0

        // Smaller changes of a stated load are within what answers vary by.
        const val CHANGE_RATIO = 1.3
        const val MAX_RATIO = 8.0
        const val MAX_REPORTED_RATIO = 4.0
        const val MAX_UNITS = 10_000

        // Much shorter than the half-lives.
        const val ESTIMATE_MAX_AGE_NANOS = 10_000_000L

        // A load that changes many times a second says nothing after this time.
        const val REPORTED_MAX_AGE_NANOS = 1e9

        const val STARTING_NANOS = 3_000_000_000L
        const val STARTING_FACTOR = 1.5
    }
}
