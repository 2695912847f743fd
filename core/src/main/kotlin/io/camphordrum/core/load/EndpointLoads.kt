package io.camphordrum.core.load

import io.camphordrum.core.serving.EndpointLoad
import io.camphordrum.core.serving.EndpointState
import io.camphordrum.core.serving.EngineLimits
import io.camphordrum.core.serving.EngineSpeed
import io.camphordrum.core.serving.Pace
import io.camphordrum.core.serving.ServingContext
import io.camphordrum.core.serving.Work

/**
 * Estimates the time to the first part of an answer at each endpoint, now.
 *
 * Answers the load of endpoints that differ in speed, turn slow for moments or seconds, or fail while they claim to be
 * healthy. Every decision about placement, admission and turns reads these estimates and keeps none of its own. They
 * rest on what all daemons observed in answers ([Observations], exchanged in notices), on the requests in flight, and on
 * what endpoints state about themselves ([ReportedLoad]).
 */
internal class EndpointLoads(private val context: ServingContext) {
    private class ServiceMeans(val nanos: Long, val workMillis: Double, val failureRate: Double)

    private class ServiceFacts {
        val work = Evidence(SERVICE_HALF_LIFE_NANOS)
        val failures = Evidence(SERVICE_HALF_LIFE_NANOS)
        private var means: ServiceMeans? = null

        // Read for each endpoint of each placement, and changes slowly.
        fun means(now: Long, firstMillis: Double): ServiceMeans =
            means?.takeIf { now - it.nanos in 0..MEANS_MAX_AGE_NANOS } ?: ServiceMeans(
                now,
                work.mean(now, firstMillis, SERVICE_PRIOR_COUNT),
                failures.mean(now, 0.0, SERVICE_PRIOR_COUNT),
            ).also { means = it }
    }

    private val services = HashMap<String, ServiceFacts>()

    /**
     * Returns the expected milliseconds from now until the answer to [work] begins at [endpoint], which holds its
     * adapter.
     */
    fun expectedMillis(now: Long, work: Work, endpoint: EndpointState): Double {
        val engine = context.engine(endpoint) ?: return workMillis(now, endpoint) * queueFactor(now, endpoint)
        val openRequests = endpoint.runningEverywhere(now) + endpoint.unansweredEverywhere(now)
        val excessRequests = openRequests + 1 - engine.batchSlots
        val pace = pace(now, endpoint)
        val turnTokens = endpoint.queuedTurnTokens + endpoint.requestedTurns.values.sum()
        val turnMillis = turnTokens / (pace.tokensPerMilli * pace.readingPart) * slowness(now, endpoint)
        return readMillis(now, work, endpoint) * endpoint.slowness + turnMillis +
            maxOf(0, excessRequests) * RUN_MILLIS / engine.batchSlots
    }

    /** Returns the time that the engine [endpoint] takes to read the unanswered prompts and that of [work]. */
    fun readMillis(now: Long, work: Work, endpoint: EndpointState): Double {
        val tokens = endpoint.pendingTokens(now) + work.promptTokens
        val common = tokens / context.speed(endpoint.record.service).tokensPerMilli + STEP_MILLIS +
            endpoint.runningEverywhere(now) * STEP_MILLIS_PER_RUN
        return common * speedFactor(now, endpoint)
    }

    /** Returns how much longer the engine [endpoint] takes now than one of the speed assumed at first. */
    fun slowness(now: Long, endpoint: EndpointState): Double = speedFactor(now, endpoint) * endpoint.slowness

    /** Returns the rate at which prompts may be sent to the engine [endpoint]; divided by its [slowness] by callers. */
    fun pace(now: Long, endpoint: EndpointState): Pace =
        context.pace(endpoint.record.service, speedFactor(now, endpoint))

    /** Returns by how much more often than at its service's other endpoints requests fail at [endpoint]. */
    fun excessFailureRate(now: Long, endpoint: EndpointState): Double {
        val common = commonFailureRate(now, endpoint)
        return maxOf(0.0, endpoint.facts.failureRate(now, common) - common)
    }

    /**
     * Returns the expected number of streams at the engine [endpoint] that pause for longer than the route allows
     * because the prompt of [work] is read there.
     */
    fun pausedStreams(now: Long, work: Work, endpoint: EndpointState): Double {
        val limitMillis = work.route.pauseMillis?.toDouble() ?: return 0.0
        val readMillis = work.promptTokens / context.speed(endpoint.record.service).tokensPerMilli
        val pauseMillis = workMillis(now, endpoint) + readMillis * speedFactor(now, endpoint)
        val latePart = (pauseMillis / limitMillis - FIRST_LATE_PAUSE) / (SURE_LATE_PAUSE - FIRST_LATE_PAUSE)
        return latePart.coerceIn(0.0, 1.0) * minOf(endpoint.runningEverywhere(now), MAX_PAUSED_STREAMS)
    }

    /** Returns the age in milliseconds of the newest observation of [endpoint]; null if there is none. */
    fun ageMillis(now: Long, endpoint: EndpointState): Long? =
        endpoint.facts.lastNanos?.let { (now - it) / NANOS_PER_MILLI }

    /** Returns the expected milliseconds of one unit of work at [endpoint], without waiting. */
    fun workMillis(now: Long, endpoint: EndpointState): Double =
        endpoint.facts.workMillis(now, commonMillis(now, endpoint))

    /**
     * Records that an answer of the engine [endpoint] began [actualMillis] after its prompt was sent.
     *
     * @param expectedMillis time to read the prompt that [readMillis] gave at the send.
     * @param newTokens prompt tokens that no engine can have cached; 0 if unknown.
     */
    fun recordFirstPart(
        now: Long,
        endpoint: EndpointState,
        expectedMillis: Double,
        actualMillis: Double,
        newTokens: Int,
    ) {
        endpoint.recordFirstPart(expectedMillis, actualMillis)
        context.speed(endpoint.record.service).recordRead(newTokens, actualMillis / speedFactor(now, endpoint))
    }

    /** Records that two events of a stream of [endpoint], of [eventTokens] tokens each, arrived [millis] apart. */
    fun recordEvent(now: Long, endpoint: EndpointState, eventTokens: Int, millis: Double) {
        recordWork(now, endpoint, millis)
        context.speed(endpoint.record.service).recordEvent(eventTokens, millis / speedFactor(now, endpoint))
    }

    /** Records how long work takes at [endpoint], as it stated in an answer to another daemon just now. */
    fun recordPercent(now: Long, endpoint: EndpointState, percent: Int) {
        if (percent in 1..ReportedLoad.MAX_PERCENT) endpoint.facts.recordPercent(now, percent)
    }

    /** Records what [endpoint] stated about itself in an answer; implausible statements have no effect. */
    fun recordReported(now: Long, endpoint: EndpointState, load: ReportedLoad) {
        if (load.isPlausible) endpoint.facts.recordReported(now, load)
    }

    /** Records that the plain service [endpoint] answered a request in [millis], without the time in its queue. */
    fun recordAnswer(now: Long, endpoint: EndpointState, millis: Double) = recordWork(now, endpoint, millis)

    /** Records how a request at [endpoint] ended. */
    fun recordEnd(now: Long, endpoint: EndpointState, failed: Boolean) {
        service(endpoint).failures.add(now, 1.0, if (failed) 1.0 else 0.0)
        endpoint.facts.recordEnd(now, failed)
    }

    /** Adds what other daemons observed at [endpoint]. */
    fun addObservations(now: Long, endpoint: EndpointState, load: EndpointLoad) {
        val observations = Observations(load.units, load.unitMillis, load.ended, load.failed)
        if (observations.isEmpty) return
        val common = commonMillis(now, endpoint)
        val facts = service(endpoint)
        if (observations.units > 0) {
            val millis = observations.millis.toDouble().coerceIn(0.0, observations.units * common * MAX_RATIO)
            facts.work.add(now, observations.units.toDouble(), millis)
        }
        if (observations.ended > 0) {
            val failed = observations.failed.coerceIn(0, observations.ended)
            facts.failures.add(now, observations.ended.toDouble(), failed.toDouble())
        }
        endpoint.facts.add(now, observations, common)
    }

    private fun recordWork(now: Long, endpoint: EndpointState, millis: Double) {
        if (!millis.isFinite()) return
        val common = commonMillis(now, endpoint)
        service(endpoint).work.add(now, 1.0, millis.coerceIn(0.0, common * MAX_RATIO))
        endpoint.facts.recordWork(now, millis, common)
    }

    /** Returns how much longer a request to the plain service [endpoint] takes because of those ahead of it. */
    fun queueFactor(now: Long, endpoint: EndpointState): Double {
        val counted = endpoint.runningEverywhere(now) + endpoint.unansweredEverywhere(now)
        val open = maxOf(counted.toDouble(), endpoint.facts.reportedRequests(now))
        val slots = maxOf(1, endpoint.record.slots)
        // A queue of a full endpoint moves on by its slots in the time of one request.
        return 1 + maxOf(0.0, open + 1 - slots) / slots
    }

    private fun speedFactor(now: Long, endpoint: EndpointState): Double =
        (workMillis(now, endpoint) / firstMillis(endpoint)).coerceIn(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR)

    private fun commonMillis(now: Long, endpoint: EndpointState): Double =
        service(endpoint).means(now, firstMillis(endpoint)).workMillis

    private fun commonFailureRate(now: Long, endpoint: EndpointState): Double =
        service(endpoint).means(now, firstMillis(endpoint)).failureRate

    // Assumed until answers have been observed.
    private fun firstMillis(endpoint: EndpointState): Double {
        val service = context.config?.services?.get(endpoint.record.service)
        val engine: EngineLimits = service?.engine ?: return PLAIN_MILLIS
        return engine.eventTokens * EngineSpeed.INITIAL_STEP_MILLIS
    }

    private fun service(endpoint: EndpointState): ServiceFacts =
        services.getOrPut(endpoint.record.service) { ServiceFacts() }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Constants of the estimate; the slowness of an endpoint corrects them by its actual times.
        const val STEP_MILLIS = 10.0
        const val STEP_MILLIS_PER_RUN = 0.1
        const val RUN_MILLIS = 2_000.0
        const val PLAIN_MILLIS = 30.0

        // A second prompt or a slow moment may prolong an expected pause. In multiples of the allowed pause.
        const val FIRST_LATE_PAUSE = 0.6
        const val SURE_LATE_PAUSE = 1.4

        // Of more streams at a slow engine, most have paused for too long before.
        const val MAX_PAUSED_STREAMS = 4

        const val SERVICE_HALF_LIFE_NANOS = 30e9
        const val MEANS_MAX_AGE_NANOS = 10_000_000L
        const val SERVICE_PRIOR_COUNT = 8.0
        const val MAX_RATIO = 8.0
        const val MIN_SPEED_FACTOR = 0.2
        const val MAX_SPEED_FACTOR = 10.0
    }
}
