package io.camphordrum.core.duty

import io.camphordrum.core.Clock
import io.camphordrum.core.Member
import io.camphordrum.core.serving.FleetDigest
import io.camphordrum.core.serving.OrderRights
import io.camphordrum.core.serving.RegisteredDaemon
import io.camphordrum.core.serving.ServingContext
import io.camphordrum.core.serving.Work

/**
 * Serves the calls to the platform that exactly one daemon of the deployment makes: reports of the use of accounts, and
 * orders of numbers of endpoints.
 *
 * Every daemon counts its own requests; the counts reach the holder of the right in notices and digests. The holder
 * decides, stores and sends. See `docs/design/duties.md` for what happens when a part fails.
 *
 * ```kotlin
 * duties.recordArrival(work)
 * duties.recordSend(now, work, endpoint)
 * duties.recordRunEnd(work, endpoint, ran = true)
 * duties.tick(now)
 * ```
 */
internal class Duties(
    private val options: DutyOptions,
    private val ports: DutyPorts,
    private val context: ServingContext,
    private val clock: Clock,
    machine: String,
    startedNanos: Long,
) {
    private val self get() = context.options.self
    private val peers = context.peers
    private val keptWindows = (options.lateMillis / options.windowMillis + SPARE_WINDOWS).toInt().coerceIn(
        2,
        MAX_WINDOWS,
    )
    private val counter = UsageCounter(self, clock, options.windowMillis, keptWindows)
    private val ledger = DutyLedger(keptWindows)
    private val right = DutyRight(context, machine, clock, ports.rights, startedNanos)
    private val reporter = UsageReporter(options, ports, ledger, context.ports.logEvent)
    private val scaling = EndpointScaling(options, context, ports.platform, ledger)
    private var tickNanos = Long.MIN_VALUE / 2
    private var trimNanos = Long.MIN_VALUE / 2
    private var actingToken: Long? = null

    // When requests were sent whose answer has not begun, by id and endpoint.
    private val sentNanos = object : LinkedHashMap<Pair<String, String>, Long>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Pair<String, String>, Long>) = size > MAX_SENT
    }

    /** Whether this daemon holds the right to the duties. */
    val isHolder: Boolean get() = right.isHeld

    /** Number of usage windows that were not reported in time, since the start of this process. */
    val missedWindows: Long get() = reporter.missedWindows

    /** Counts a request within its account's limit. */
    fun recordArrival(work: Work) = counter.recordArrival(work.service)

    /** Records that [work] was sent to [endpoint]. */
    fun recordSend(now: Long, work: Work, endpoint: String) {
        sentNanos[work.id to endpoint] = now
    }

    /** Counts [work], whose answer from [endpoint] began at [now]. */
    fun recordFirstPart(now: Long, work: Work, endpoint: String) {
        // A stream begins with its first token, any other run when the endpoint takes the request.
        val sent = sentNanos.remove(work.id to endpoint) ?: return
        if (work.base != null && work.promptTokens > 0) {
            counter.recordRead(work.service, work.promptTokens / context.speed(work.service).tokensPerMilli)
        }
        val agoMillis = if (work.route.streaming) 0 else (now - sent) / OrderRights.NANOS_PER_MILLI
        work.account?.let { counter.recordBegun(it, agoMillis) }
    }

    /** Records the end of [work] at [endpoint]; [ran] tells whether an answer shows that it has run. */
    fun recordRunEnd(now: Long, work: Work, endpoint: String, ran: Boolean) {
        if (ran) recordFirstPart(now, work, endpoint) else sentNanos.remove(work.id to endpoint)
    }

    /** Learns from the notice or digest of another daemon. */
    fun receive(now: Long, news: DutyNews) {
        right.receive(now, news)
        val window = counter.currentWindow()
        if (!right.isHeld &&
            news.holder != null &&
            news.decidedWindow in 1..window
        ) {
            ledger.markDecided(news.decidedWindow)
        }
        for (counts in news.counts) ledger.merge(now, window, counts)
    }

    /** Returns what to add to a notice to every daemon. */
    fun newsToAll(now: Long): DutyNews = news(now).copy(counts = listOf(counter.counts(ledger.decidedWindow)))

    /** Returns what to add to the notice to the relay of this daemon. */
    fun newsToRelay(now: Long, relay: RegisteredDaemon): DutyNews =
        news(now).copy(counts = changes(now, relay) { it == self })

    /** Returns [digest] with the counts that [receiver] needs: they go only to the holder or toward it. */
    fun addCounts(now: Long, digest: FleetDigest, receiver: RegisteredDaemon, reporting: Set<String>): FleetDigest {
        val holder = right.holderName(now)?.let(peers::get) ?: return digest
        val name = receiver.member.instance.name
        val sameDataCentre = receiver.dataCentre == context.options.dataCentre
        val counts = when {
            holder.member.instance.name == name -> changes(now, receiver) { true }
            sameDataCentre && name in reporting -> emptyList()
            !sameDataCentre && receiver.dataCentre != holder.dataCentre -> emptyList()
            else -> changes(now, receiver) { it.instance.name in reporting }
        }
        return if (counts.isEmpty()) digest else digest.copy(duties = news(now).copy(counts = counts))
    }

    /** Excludes [nanos] in which this process did not run from the time-out of the holder. */
    fun excludePause(nanos: Long) = right.excludePause(nanos)

    /** Renews or claims the right, and does what is due if this daemon holds it. */
    fun tick(now: Long) {
        if (now - tickNanos < TICK_NANOS) return
        tickNanos = now
        right.tick(now)
        if (now - trimNanos >= TRIM_NANOS) {
            trimNanos = now
            ledger.trim(counter.currentWindow()) { peers.get(it.instance.name)?.member == it }
        }
        if (!right.usable(now)) return stopActing()
        val token = right.token ?: return
        if (actingToken != token) {
            stopActing()
            actingToken = token
        }
        recordOwn(now)
        val permitted = { right.token == token && right.usable(clock.nanos()) }
        // Before the record is read, the orders in it are not known.
        reporter.step(now, clock.epochMillis(), token, permitted, scaling.orders) { coverage(now, it) }
        val storedOrders = reporter.storedOrders ?: return
        if (options.scaling) scaling.step(now, token, permitted, storedOrders)
    }

    /** Gives the right up before the process ends. */
    fun leave() {
        right.leave()
        stopActing()
    }

    private fun stopActing() {
        if (actingToken == null) return
        actingToken = null
        reporter.reset()
        scaling.reset()
    }

    private fun recordOwn(now: Long) {
        ledger.merge(now, counter.currentWindow(), counter.counts(ledger.decidedWindow))
    }

    private fun changes(now: Long, receiver: RegisteredDaemon, includes: (Member) -> Boolean): List<DutyCounts> {
        // A restarted receiver has lost what it was sent.
        val key = receiver.member.toString()
        if (!ledger.isDue(now, key)) return emptyList()
        recordOwn(now)
        return ledger.changes(now, key, includes)
    }

    /** Returns who holds the duties, without counts. */
    fun news(now: Long): DutyNews =
        (right.news(now) ?: DutyNews()).copy(decidedWindow = ledger.decidedWindow)

    private fun coverage(now: Long, window: Long): UsageReporter.Coverage {
        val awaited = peers.others.map { it.member }.filter {
            peers.silenceNanos(now, it.instance.name) < LOST_NANOS || ledger.isClosed(it, window)
        } + self
        val missing = awaited.filterNot { ledger.isClosed(it, window) }
        return UsageReporter.Coverage(awaited.size - missing.size, missing.map(Member::toString))
    }

    private companion object {
        const val TICK_NANOS = 100_000_000L
        const val TRIM_NANOS = 1_000_000_000L
        const val SPARE_WINDOWS = 2
        const val MAX_WINDOWS = 64

        // More than the requests that one daemon has open.
        const val MAX_SENT = 65_536

        // A daemon that is cut off comes back with its counts sooner; a longer silence means that it is gone.
        const val LOST_NANOS = 30_000_000_000L
    }
}
