package io.camphordrum.daemon.edge

import io.camphordrum.core.serving.Repetition
import io.camphordrum.core.serving.ServingRoute

/** Estimates how long complete answers of each route take, from the last ones; runs on the event loop. */
internal class AnswerTimes {
    private class Times {
        val firstMillis = RecentValues()
        val restMillisPerToken = RecentValues()
    }

    private val timesByRoute = HashMap<String, Times>()

    /**
     * Records a complete answer.
     *
     * @param outputTokens the number of tokens that the request allows; null if it does not state it.
     * @param firstMillis time from the arrival of the request to the first part.
     * @param totalMillis time from the arrival of the request to the end of the answer.
     */
    fun record(route: ServingRoute, outputTokens: Int?, firstMillis: Long, totalMillis: Long) {
        if (timesByRoute.size >= MAX_ROUTES && route.name !in timesByRoute) timesByRoute.clear()
        val times = timesByRoute.getOrPut(route.name) { Times() }
        times.firstMillis.add(firstMillis.toDouble())
        times.restMillisPerToken.add((totalMillis - firstMillis).toDouble() / maxOf(1, outputTokens ?: 1))
    }

    /**
     * Returns the time within which an answer is very likely complete, in milliseconds.
     *
     * A request that must not be repeated gets more room, because its caller cannot recover from an answer that is cut
     * off. Without any answer yet, the target of the route is assumed, or its timeout if it must not be repeated.
     */
    fun likelyMillis(route: ServingRoute, outputTokens: Int?): Double {
        val repeatable = route.repetition != Repetition.FORBIDDEN
        val times = timesByRoute[route.name]
            ?: return (if (repeatable) route.targetMillis else route.timeoutMillis).toDouble()
        val share = if (repeatable) REPEATABLE_SHARE else 1.0
        val restMillis = times.restMillisPerToken.quantile(share) * maxOf(1, outputTokens ?: 1)
        val millis = times.firstMillis.quantile(share) + restMillis
        return if (repeatable) millis else millis * UNREPEATABLE_FACTOR
    }

    private class RecentValues {
        private val values = DoubleArray(MAX_VALUES)
        private var count = 0
        private var next = 0

        fun add(value: Double) {
            values[next] = value
            next = (next + 1) % MAX_VALUES
            count = minOf(count + 1, MAX_VALUES)
        }

        fun quantile(share: Double): Double {
            val sorted = values.copyOf(count).also { it.sort() }
            return sorted[((count - 1) * share).toInt()]
        }
    }

    private companion object {
        const val MAX_ROUTES = 1_024
        const val MAX_VALUES = 64
        const val REPEATABLE_SHARE = 0.9
        const val UNREPEATABLE_FACTOR = 1.25
    }
}
