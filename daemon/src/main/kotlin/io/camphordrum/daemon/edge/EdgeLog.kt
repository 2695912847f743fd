package io.camphordrum.daemon.edge

import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/**
 * Logs a JSON line for each decision on a request or on assumed state, through a bounded queue that never blocks.
 *
 * Requests served in time are sampled at one in [SAMPLE_INTERVAL]; all other events are always logged.
 */
object EdgeLog {
    private const val SAMPLE_INTERVAL = 16
    private var servedCount = 0

    /** Logs [event] with its inputs and outcome. */
    fun write(event: String, fields: Map<String, Any?>) {
        log.atInfo {
            message = event
            payload = fields
        }
    }

    /** Logs a served request; sampled unless it was [late]. */
    fun writeServed(late: Boolean, fields: () -> Map<String, Any?>) {
        if (late) {
            write("served_late", fields())
        } else if (servedCount++ % SAMPLE_INTERVAL == 0) {
            write("served", fields())
        }
    }
}
