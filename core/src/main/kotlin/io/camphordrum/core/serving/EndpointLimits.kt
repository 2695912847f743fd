package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId

/** Collects the rate limits that endpoints announce, and exchanges them with other daemons in notices and digests. */
internal class EndpointLimits(private val context: ServingContext) {
    private val registry = context.registry

    /** Records what an answer of [endpoint] to a request sent at [sentNanos] announces; null means no limit. */
    fun recordAnswer(now: Long, endpoint: EndpointId, sentNanos: Long, perSecond: Double?) {
        val limit = registry.get(endpoint)?.announcedLimit ?: return
        val changed = if (perSecond == null) limit.recordNoLimit(sentNanos) else limit.recordLimit(now, perSecond)
        if (changed) logChange(endpoint, perSecond, "answer")
    }

    /** Applies the observations of other daemons; those of an earlier start of an endpoint are ignored. */
    fun applyReports(now: Long, reports: List<ReportedLimit>) {
        for (report in reports) {
            val state = registry.get(EndpointId(report.endpoint)) ?: continue
            if (state.record.startedEpochMillis != report.startedEpochMillis) continue
            val atNanos = now - peerDurationNanos(report.ageMillis)
            if (state.announcedLimit.recordReported(atNanos, report.perSecond)) {
                logChange(state.id, report.perSecond, "report")
            }
        }
    }

    /** Returns the recent observations of this daemon. */
    fun ownReports(now: Long): List<ReportedLimit> = registry.all.mapNotNull { state ->
        val observation = state.announcedLimit.reportable(now) ?: return@mapNotNull null
        val ageMillis = (now - observation.atNanos) / OrderRights.NANOS_PER_MILLI
        ReportedLimit(state.id.name, state.record.startedEpochMillis, observation.perSecond, ageMillis)
    }

    private fun logChange(endpoint: EndpointId, perSecond: Double?, source: String) {
        val fields = mapOf("endpoint" to endpoint.name, "perSecond" to perSecond, "source" to source)
        context.ports.logEvent("endpoint_limit", fields)
    }
}
