package io.camphordrum.core.serving

import io.camphordrum.core.metering.AccountMeter
import kotlin.random.Random

/**
 * Exchanges notices about charges, load and owned endpoints with the other daemons.
 *
 * Small fleets send notices from every daemon to every other one, large fleets through [Relays].
 */
internal class NoticeExchange(
    private val context: ServingContext,
    private val meter: AccountMeter,
    private val ownership: EndpointOwnership,
    private val limits: EndpointLimits,
    private val prompts: PromptGuard,
) {
    private val peers = context.peers
    private val registry = context.registry
    private val options = context.options
    private val relays = Relays(context, meter, limits, prompts, ::buildNotice)
    private var sequence = 0L
    private var localSentNanos = Long.MIN_VALUE / 2
    private var remoteSentNanos = Long.MIN_VALUE / 2
    private var newsSentNanos = Long.MIN_VALUE / 2
    private val random = Random(options.seed)

    /** Returns whether what this daemon knows about the others in a fleet with relays is up to date. */
    fun hasCurrentView(now: Long): Boolean = relays.hasCurrentView(now)

    /** Excludes [nanos] in which this process did not run from all timeouts. */
    fun excludePause(nanos: Long) {
        peers.excludePause(nanos)
        relays.excludePause(nanos)
    }

    fun receive(now: Long, notice: ServingNotice) {
        val from = notice.sender
        if (peers.receive(now, notice)) meter.recordPeerCharges(now, from, notice.sequence, notice.charged)
        for (relay in notice.relayed) {
            val receivedNanos = now - peerDurationNanos(relay.ageMillis)
            if (peers.recordCharges(receivedNanos, relay.member, relay.sequence, relay.charged)) {
                meter.recordPeerCharges(now, relay.member, relay.sequence, relay.charged)
            }
        }
        meter.adoptLevels(now, notice.levels)
        registry.applyNotice(now, from, notice)
        limits.applyReports(now, notice.limits)
        notice.prompts?.let { prompts.receive(now, it) }
        if (peers.get(from.instance.name)?.dataCentre == options.dataCentre) relays.receiveReport(now, notice)
        ownership.reassert()
    }

    fun receive(now: Long, digest: FleetDigest) {
        relays.receiveDigest(now, digest)
        ownership.reassert()
    }

    /** Sends the notices that are due. */
    fun tick(now: Long) {
        if (peers.usesRelays) spreadNews(now)
        val urgent = !peers.usesRelays && prompts.hasNews && now - localSentNanos >= URGENT_NOTICE_NANOS
        val includeRemote = urgent || now - remoteSentNanos >= REMOTE_NOTICE_NANOS
        if (!urgent && now - localSentNanos < LOCAL_NOTICE_NANOS) return
        localSentNanos = now
        if (includeRemote) remoteSentNanos = now
        meter.updateShare(now, peers.reachableCount(now), peers.knownCount, peers.dataCentreSizes)
        meter.renewAllowance(now, if (peers.usesRelays) RELAYED_LAG_MILLIS else LAG_MILLIS)
        if (peers.usesRelays) return relays.sendDue(now)
        sendToEach(now, includeRemote)
        if (includeRemote) prompts.hasNews = false
    }

    /** Makes the daemons that report to this one choose another relay. */
    fun leave() = relays.leave()

    // Relays may restart one after the other, and a crash must be known everywhere before the next one.
    private fun spreadNews(now: Long) {
        if (!prompts.hasNews || now - newsSentNanos < URGENT_NOTICE_NANOS) return
        newsSentNanos = now
        prompts.hasNews = false
        val news = ServingMessage.PromptNews(prompts.report(now) ?: return)
        peers.others.shuffled(random).take(NEWS_RECEIVERS).forEach { context.ports.send(it, news) }
    }

    private fun sendToEach(now: Long, includeRemote: Boolean) {
        val targets = peers.others.filter { includeRemote || it.dataCentre == options.dataCentre }
        if (targets.isEmpty()) return
        val notice = buildNotice(now, peers.directNoticeAgesMillis(now))
        for (daemon in targets) {
            val name = daemon.member.instance.name
            if (peers.isOutboundBroken(now, name)) context.ports.reconnect(daemon)
            context.ports.send(daemon, notice.copy(relayed = peers.chargesToRelay(now, name)))
        }
    }

    private fun buildNotice(now: Long, noticeAgesMillis: Map<String, Long>) = ServingNotice(
        options.self,
        ++sequence,
        HashMap(meter.charged),
        ownLoads(),
        ownership.ownedEndpoints(),
        noticeAgesMillis,
        relayed = emptyList(),
        limits = limits.ownReports(now),
        prompts = prompts.report(now),
        levels = if (peers.usesRelays) emptyMap() else meter.levelsForNewPeers(now),
    )

    private fun ownLoads(): List<EndpointLoad> = registry.all.filter {
        it.running.isNotEmpty() || it.unanswered.isNotEmpty()
    }.map {
        val adapters = LinkedHashSet<String>()
        for (work in it.running.values) work.adapter?.let(adapters::add)
        for (work in it.unanswered.values) work.adapter?.let(adapters::add)
        val tokens = it.unanswered.values.sumOf { work -> work.promptTokens }
        EndpointLoad(it.id.name, it.running.size, it.unanswered.size, tokens, adapters.toList())
    }

    private companion object {
        // Traffic between data centres is expensive, so remote daemons receive fewer notices.
        const val LOCAL_NOTICE_NANOS = 250_000_000L
        const val REMOTE_NOTICE_NANOS = 500_000_000L

        // Half of an interval until a charge is sent, and the same for each relay on its way.
        const val LAG_MILLIS = 250L
        const val RELAYED_LAG_MILLIS = 400L

        // A crash is detected by several daemons within a few milliseconds; their news share a notice.
        const val URGENT_NOTICE_NANOS = 50_000_000L

        // News reach nearly all of 400 daemons within four rounds.
        const val NEWS_RECEIVERS = 5
    }
}
