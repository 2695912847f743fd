package io.camphordrum.daemon.edge

import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/**
 * Writes one JSON line for each decision on a request or a belief; the appender's queue is bounded and never blocks.
 *
 * Of requests that were served well, one in [SAMPLE] is written; everything else is written always.
 */
object EdgeLog {
    private const val SAMPLE = 16
    private var served = 0

    /** Writes [event] with its inputs and outcome. */
    fun write(event: String, fields: Map<String, Any?>) {
        log.atInfo {
            message = event
            payload = fields
        }
    }

    /** Writes a request that was served; sampled unless it was [late]. */
    fun served(late: Boolean, fields: () -> Map<String, Any?>) {
        if (late) {
            write("served_late", fields())
        } else if (served++ % SAMPLE == 0) {
            write("served", fields())
        }
    }
}
