package io.camphordrum.core.duty

import io.camphordrum.core.serving.RightWriteResult
import java.util.TreeMap

/**
 * Decides what is reported for each usage window, stores the decision and sends it until the platform has it.
 *
 * A report is sent only after its decision was stored with a conditional write. A new holder reads the decisions before
 * it decides, and the write of a former holder that arrives late fails at its revision. Therefore no two reports of one
 * window differ, whoever sends them and however often.
 *
 * A window is decided as soon as the counts of all registered daemons are final, and at the latest [DECIDE_PART] of the
 * allowed time after its end, with what is known then. Without final counts of half of the daemons nothing is decided:
 * such a report would be wrong, and the clock of this daemon may be.
 */
internal class UsageReporter(
    private val options: DutyOptions,
    private val ports: DutyPorts,
    private val ledger: DutyLedger,
    private val logEvent: (event: String, fields: Map<String, Any?>) -> Unit,
) {
    /** Tells which of the registered daemons have final counts of a window. */
    data class Coverage(val complete: Int, val missing: List<String>)

    private var stored: StoredDutyRecord? = null
    private var storeCallInFlight = false
    private var storeRetryNanos = Long.MIN_VALUE / 2
    private var calling = false
    private var callRetryNanos = Long.MIN_VALUE / 2
    private var callFailures = 0
    private var lastSkippedWindow = 0L
    private val accepted = HashSet<Long>()

    // What this process has read or stored, by window: a store that is restored to an older state loses decisions.
    private val known = TreeMap<Long, WindowReport>()

    // Refused for good in this tenure; another holder may try again.
    private val refused = HashSet<Long>()

    // Grows when the right changes, so that answers to calls of a former tenure change nothing.
    private var tenure = 0

    /** The last orders of endpoints in the store; null until the record was read. */
    val storedOrders: List<EndpointCountOrder>? get() = stored?.record?.ordered

    /** Number of windows for which no report was decided in time, since the start of this process. */
    var missedWindows = 0L
        private set

    /** Forgets what was read, because another daemon may write from now on. */
    fun reset() {
        tenure++
        stored = null
        storeCallInFlight = false
        calling = false
        accepted.clear()
        refused.clear()
    }

    /**
     * Takes the next steps; called only while the right is usable.
     *
     * @param epochMillis wall clock of this daemon.
     * @param permitted whether the right is still usable, evaluated when a call is sent.
     * @param ordered orders of endpoints to store with the next decision.
     */
    fun step(
        now: Long,
        epochMillis: Long,
        token: Long,
        permitted: () -> Boolean,
        ordered: List<EndpointCountOrder>,
        coverage: (window: Long) -> Coverage,
    ) {
        val current = stored
        if (current == null) return read(now)
        if (!options.usage) return
        ledger.markDecided(decidedWindow(epochMillis, current.record))
        send(now, epochMillis, token, permitted)
        if (storeCallInFlight || now < storeRetryNanos) return
        val reports = dueWindows(epochMillis, current.record).mapNotNull { decide(epochMillis, it, coverage(it)) }
        if (reports.isNotEmpty()) write(now, current, reports, ordered)
    }

    private fun dueWindows(epochMillis: Long, record: DutyRecord): List<Long> {
        val newest = Math.floorDiv(epochMillis, options.windowMillis) - 1
        val oldest = Math.floorDiv(epochMillis - options.lateMillis, options.windowMillis)
        val decided = record.windows.mapTo(HashSet()) { it.window }
        // Windows before the first report of a deployment, or that were missed while there was no holder, stay missing.
        val lastDecided = decided.maxOrNull()
        for (window in maxOf(lastSkippedWindow + 1, lastDecided ?: oldest, oldest - KEPT_REPORTS)..<oldest) {
            if (window in decided) continue
            lastSkippedWindow = window
            missedWindows++
            logEvent("usage_missed", mapOf("window" to window))
        }
        return (oldest..newest).filter { it !in decided && (it + 1) * options.windowMillis <= epochMillis }
    }

    private fun decide(epochMillis: Long, window: Long, coverage: Coverage): WindowReport? {
        val agoMillis = epochMillis - (window + 1) * options.windowMillis
        val complete = coverage.missing.isEmpty() && agoMillis >= SETTLE_MILLIS
        val lastChance = agoMillis >= options.lateMillis * DECIDE_PART && coverage.complete >= coverage.missing.size
        if (!complete && !lastChance) return null
        val began = ledger.total(window)
        logEvent(
            "usage_decided",
            mapOf(
                "window" to window,
                "requests" to began.values.sum(),
                "accounts" to began.size,
                "afterMillis" to agoMillis,
                "daemons" to coverage.complete,
                "missing" to coverage.missing.take(MAX_LOGGED),
            ),
        )
        return WindowReport(window, began)
    }

    private fun read(now: Long) {
        if (storeCallInFlight || now < storeRetryNanos) return
        storeCallInFlight = true
        storeRetryNanos = now + RETRY_NANOS
        val started = tenure
        ports.reports.read { result ->
            if (started != tenure) return@read
            storeCallInFlight = false
            if (result != null) apply(result)
        }
    }

    private fun write(
        now: Long,
        current: StoredDutyRecord,
        reports: List<WindowReport>,
        ordered: List<EndpointCountOrder>,
    ) {
        storeCallInFlight = true
        storeRetryNanos = now + RETRY_NANOS
        val windows = (current.record.windows.map { it.copy(accepted = isAccepted(it)) } + reports)
            .sortedBy { it.window }.takeLast(KEPT_REPORTS)
        val next = DutyRecord(windows, ordered)
        val started = tenure
        ports.reports.write(next, current.revision) { end ->
            if (started != tenure) return@write
            storeCallInFlight = false
            if (end is RightWriteResult.Stored) {
                apply(StoredDutyRecord(next, end.revision))
            } else {
                // Another daemon has decided, or this decision may be stored: only the store knows.
                logEvent("usage_write_failed", mapOf("windows" to reports.map { it.window }, "end" to end.toString()))
                stored = null
            }
        }
    }

    private fun apply(next: StoredDutyRecord) {
        for (report in next.record.windows) known[report.window] = report
        while (known.size > KEPT_REPORTS) known.pollFirstEntry()
        stored = next.copy(record = next.record.copy(windows = known.values.toList()))
        accepted.retainAll(known.keys)
        refused.retainAll(known.keys)
    }

    /** Returns the newest window up to which every report is decided or too late to be. */
    private fun decidedWindow(epochMillis: Long, record: DutyRecord): Long {
        val decided = record.windows.mapTo(HashSet()) { it.window }
        var window = Math.floorDiv(epochMillis - options.lateMillis, options.windowMillis) - 1
        while (window + 1 in decided) window++
        return window
    }

    private fun isAccepted(report: WindowReport): Boolean = report.accepted || report.window in accepted

    private fun send(now: Long, epochMillis: Long, token: Long, permitted: () -> Boolean) {
        if (calling || now < callRetryNanos) return
        val report = stored?.record?.windows?.firstOrNull {
            val agoMillis = epochMillis - (it.window + 1) * options.windowMillis
            !isAccepted(it) && it.window !in refused && agoMillis < maxOf(options.lateMillis, RETRY_MILLIS)
        } ?: return
        calling = true
        callRetryNanos = now + options.callIntervalNanos
        val started = tenure
        ports.platform.reportUsage(report, token, permitted) { end ->
            if (started != tenure) return@reportUsage
            calling = false
            logEvent(
                "usage_reported",
                mapOf(
                    "window" to report.window,
                    "token" to token,
                    "end" to end.name.lowercase(),
                    "counts" to report.began,
                ),
            )
            callFailures = if (end == DutyCallEnd.REFUSED || end == DutyCallEnd.UNKNOWN) callFailures + 1 else 0
            when (end) {
                DutyCallEnd.ACCEPTED -> accepted += report.window
                DutyCallEnd.INVALID -> refused += report.window
                else -> callRetryNanos = now + RETRY_NANOS * minOf(callFailures, MAX_BACK_OFF)
            }
        }
    }

    companion object {
        /** Number of decided reports in the store. */
        const val KEPT_REPORTS = 32

        /** Part of the allowed time after which a window is decided without the counts that are still missing. */
        const val DECIDE_PART = 0.6

        // Answers that began in the last moment of a window are counted by then.
        private const val SETTLE_MILLIS = 300L
        private const val RETRY_NANOS = 400_000_000L
        private const val MAX_BACK_OFF = 5

        // A late report is of use to operators, although it is late for the platform.
        private const val RETRY_MILLIS = 120_000L
        private const val MAX_LOGGED = 16
    }
}
