package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.metering.AccountMeter

/**
 * Distributes notices in a large fleet.
 *
 * Each daemon reports to one relay of its data centre and receives digests of the whole fleet from it.
 *
 * The relay is the longest running daemon of the data centre that answers. There is no election: every daemon that
 * receives reports forwards them, so two relays at once only cost bytes. A daemon that receives nothing from its relay
 * for [RELAY_TIMEOUT_NANOS] reports to the next one.
 */
internal class Relays(
    private val context: ServingContext,
    private val meter: AccountMeter,
    private val limits: EndpointLimits,
    private val prompts: PromptGuard,
    private val buildNotice: (now: Long, noticeAgesMillis: Map<String, Long>) -> ServingNotice,
) {
    private class ReceivedReport(val notice: ServingNotice, val receivedNanos: Long)

    private class ReceivedDigest(val digest: FleetDigest, val receivedNanos: Long, val dataCentre: DataCentreId)

    /** Tracks the relay of one data centre, when it was chosen, and when it last answered. */
    private class Contact(val daemon: RegisteredDaemon, val sinceNanos: Long) {
        var answeredNanos = sinceNanos
    }

    private val peers = context.peers
    private val registry = context.registry
    private val self get() = context.options.self
    private val dataCentre = context.options.dataCentre

    /** Holds the state of the fleet, either from the relay of this daemon or aggregated here. */
    private class FleetView(
        val dataCentres: List<String>,
        val silent: List<String>,
        val load: List<EndpointLoad>,
        val owned: List<OwnedBy>,
    )

    private val reports = HashMap<String, ReceivedReport>()
    private val digests = HashMap<String, ReceivedDigest>()
    private var relayDigest: ReceivedDigest? = null
    private val contacts = HashMap<DataCentreId, Contact>()
    private val avoidedUntilNanos = HashMap<String, Long>()
    private val ledger = ChargeLedger()
    private val localCharges = ledger.Cursor { true }
    private val remoteCharges = ledger.Cursor { it in reports }

    // Incarnations of the receivers and senders of full digests, by name.
    private val fullDigestSentTo = HashMap<String, Long>()
    private val fullDigestReceivedFrom = HashMap<String, Long>()
    private val publishedOwned = HashMap<String, OwnedBy>()
    private var ownLoad = emptyMap<String, EndpointLoad>()
    private var sequence = 0L
    private var sentNanos = Long.MIN_VALUE / 2
    private var remoteSentNanos = Long.MIN_VALUE / 2
    private var leaving = false

    /** Returns whether the state of the others is up to date, from a live relay or from their own reports. */
    fun hasCurrentView(now: Long): Boolean {
        val contact = contacts[dataCentre] ?: return false
        if (contact.daemon.member.instance == self.instance) return now - contact.sinceNanos > SELF_RELAY_SETTLE_NANOS
        return contact.answeredNanos > contact.sinceNanos && now - contact.answeredNanos < CURRENT_VIEW_NANOS
    }

    /** Excludes [nanos] in which this process did not run from the timeouts of relays. */
    fun excludePause(nanos: Long) {
        for (contact in contacts.values) contact.answeredNanos += nanos
    }

    /** Sends the due notice to the relay, and the due digests to the daemons that report here. */
    fun sendDue(now: Long) {
        if (now - sentNanos < SEND_INTERVAL_NANOS) return
        sentNanos = now
        val contact = contact(now, dataCentre) ?: return
        val relay = contact.daemon
        val noticeAgesMillis = mapOf(
            relay.member.instance.name to (now - contact.answeredNanos) / OrderRights.NANOS_PER_MILLI,
        )
        val notice = buildNotice(now, noticeAgesMillis)
        ownLoad = notice.load.associateBy { it.endpoint }
        reports[self.instance.name] = ReceivedReport(notice, now)
        ledger.record(self, notice.sequence, notice.charged)
        reports.values.removeAll { now - it.receivedNanos > REPORT_MAX_AGE_NANOS }
        digests.values.removeAll { now - it.receivedNanos > DIGEST_MAX_AGE_NANOS }
        val isRelay = relay.member.instance == self.instance
        if (!isRelay) context.ports.send(relay, notice)
        if (!isRelay && reports.size == 1) return
        sequence++
        sendLocalDigests(now, isRelay)
        if (now - remoteSentNanos >= REMOTE_SEND_INTERVAL_NANOS) {
            remoteSentNanos = now
            sendRemoteDigests(now, if (isRelay) null else relay)
        }
    }

    /** Handles the report of a daemon of this data centre. */
    fun receiveReport(now: Long, notice: ServingNotice) {
        reports[notice.sender.instance.name] = ReceivedReport(notice, now)
        ledger.record(notice.sender, notice.sequence, notice.charged)
    }

    /** Handles the digest of a relay. */
    fun receiveDigest(now: Long, digest: FleetDigest) {
        val name = digest.sender.instance.name
        val sender = peers.get(name) ?: return
        contacts[sender.dataCentre]?.takeIf { it.daemon.member.instance == digest.sender.instance }?.answeredNanos = now
        if (digest.dataCentres.isEmpty()) {
            avoid(now, sender, "leaving")
            return
        }
        if (digest.full) fullDigestReceivedFrom[name] = digest.sender.incarnation
        val fromOwnRelay =
            sender.dataCentre == dataCentre && contacts[dataCentre]?.daemon?.member?.instance == digest.sender.instance
        // Changes that were lost while a data centre was cut off would otherwise arrive seconds after it is back.
        val previous = digests[name]
        if (sender.dataCentre != dataCentre && (previous == null || now - previous.receivedNanos > CUT_NANOS)) {
            fullDigestSentTo -= name
        }
        val received = ReceivedDigest(digest, now, sender.dataCentre)
        if (fromOwnRelay) relayDigest = received else digests[name] = received
        preferSender(now, sender)
        val silent = digest.silent.toSet()
        for (daemon in peers.others) {
            val other = daemon.member.instance.name
            if (daemon.dataCentre.name in digest.dataCentres && other !in silent) peers.recordRelayed(now, other)
        }
        val load = digest.load.associateBy { it.endpoint }
        registry.applyDigest(now, name, load, if (fromOwnRelay) ownLoad else emptyMap(), digest.owned)
        limits.applyReports(now, digest.limits)
        digest.prompts?.let { prompts.receive(now, it) }
        if (fullDigestReceivedFrom[name] != digest.sender.incarnation) return
        for (charges in digest.charged) {
            meter.recordPeerCharges(now, charges.member, charges.sequence, charges.charged)
            ledger.record(charges.member, charges.sequence, charges.charged)
        }
        if (fromOwnRelay) meter.adoptLevels(now, digest.levels)
    }

    /** Makes the daemons that report to this one choose another relay. */
    fun leave() {
        leaving = true
        val last = FleetDigest(self, ++sequence, false, emptyList(), emptyList(), emptyList(), emptyList(), emptyList())
        for (name in reports.keys) peers.get(name)?.let { if (it.member != self) context.ports.send(it, last) }
    }

    private fun sendLocalDigests(now: Long, isRelay: Boolean) {
        val view = view(now, isRelay)
        val owned = view.owned.map { it.copy(endpoint = withKnownAdapters(it.endpoint)) }
        val changedOwned = owned.mapNotNull(::changesOnly)
        for (entry in owned) publishedOwned[entry.endpoint.endpoint] = entry
        publishedOwned.values.removeAll { !peers.isLive(now, it.daemon) }
        val changes =
            FleetDigest(
                self,
                sequence,
                false,
                view.dataCentres,
                view.silent,
                view.load,
                changedOwned,
                localCharges.next(),
                limitsInReports(now) + remoteLimits(now),
                prompts.report(now),
            )
        val full by lazy {
            changes.copy(
                full = true,
                owned = publishedOwned.values.toList(),
                charged = localCharges.all(),
                levels = meter.levelsForNewPeers(now, always = true),
            )
        }
        for ((name, report) in reports) {
            val daemon = peers.get(name) ?: continue
            if (daemon.member.instance == self.instance) continue
            if (peers.isOutboundBroken(now, name)) context.ports.reconnect(daemon)
            val incremental =
                fullDigestSentTo.put(name, report.notice.sender.incarnation) == report.notice.sender.incarnation
            // A full digest may be lost with its connection, and its receiver ignores all charges until it has one.
            val resend = Math.floorMod(name.hashCode() + sequence, DIGESTS_PER_FULL_DIGEST) == 0L
            context.ports.send(daemon, if (incremental && !resend) changes else full)
        }
    }

    private fun view(now: Long, isRelay: Boolean): FleetView {
        val fromRelay = relayDigest?.takeIf { !isRelay && now - it.receivedNanos < DIGEST_MAX_AGE_NANOS }?.digest
        if (fromRelay != null) {
            // Daemons report to a daemon that is not their relay because they cannot reach the relay.
            return FleetView(
                fromRelay.dataCentres,
                fromRelay.silent - reports.keys,
                fromRelay.load,
                ownedInReports() + fromRelay.owned,
            )
        }
        val remoteDigests = digests.values.filter { it.dataCentre != dataCentre }
        return FleetView(
            digests.values.mapTo(sortedSetOf(dataCentre.name)) { it.dataCentre.name }.toList(),
            silentInDataCentre(now) + remoteDigests.flatMap { it.digest.silent },
            sumLoads(reports.values.flatMap { it.notice.load } + digests.values.flatMap { it.digest.load }),
            ownedInReports() + digests.values.flatMap { it.digest.owned },
        )
    }

    // Digests of another data centre leave out unchanged adapters; daemons that join later still need them.
    private fun withKnownAdapters(owned: OwnedEndpoint): OwnedEndpoint {
        if (owned.base != null) return owned
        val last = publishedOwned[owned.endpoint]?.endpoint ?: return owned
        return owned.copy(base = last.base, adapters = last.adapters)
    }

    private fun changesOnly(entry: OwnedBy): OwnedBy? {
        val last = publishedOwned[entry.endpoint.endpoint]
        val resendPhase = entry.endpoint.endpoint.hashCode().toLong() + sequence
        if (last == null || Math.floorMod(resendPhase, DIGESTS_PER_ADAPTER_LIST) == 0L) return entry
        if (last.endpoint.base != entry.endpoint.base || last.endpoint.adapters != entry.endpoint.adapters) return entry
        if (last == entry && Math.floorMod(resendPhase, DIGESTS_PER_OWNER) != 0L) return null
        return entry.copy(endpoint = entry.endpoint.copy(base = null, adapters = emptyMap()))
    }

    private fun sendRemoteDigests(now: Long, localRelay: RegisteredDaemon?) {
        val load = sumLoads(reports.values.flatMap { it.notice.load })
        val silent = peers.inDataCentre(dataCentre).map { it.member.instance.name }.filter { it !in reports }
        val changes by lazy {
            FleetDigest(
                self,
                sequence,
                false,
                listOf(dataCentre.name),
                silent,
                load,
                ownedInReports(),
                remoteCharges.next(),
                limitsInReports(now),
                prompts.report(now),
            )
        }
        val remoteDataCentres = peers.others.mapTo(HashSet()) { it.dataCentre } - dataCentre
        val targets =
            if (localRelay != null) listOf(localRelay) else remoteDataCentres.mapNotNull { contact(now, it)?.daemon }
        for (receiver in targets) {
            val full =
                fullDigestSentTo.put(receiver.member.instance.name, receiver.member.incarnation) !=
                    receiver.member.incarnation
            context.ports.send(
                receiver,
                if (full) changes.copy(full = true, charged = remoteCharges.all()) else changes,
            )
        }
    }

    private fun ownedInReports(): List<OwnedBy> =
        reports.values.flatMap { report -> report.notice.owned.map { OwnedBy(report.notice.sender.instance.name, it) } }

    private fun limitsInReports(now: Long): List<ReportedLimit> =
        newestLimits(now, reports.values.map { it.receivedNanos to it.notice.limits })

    private fun remoteLimits(now: Long): List<ReportedLimit> =
        newestLimits(now, (digests.values + listOfNotNull(relayDigest)).map { it.receivedNanos to it.digest.limits })

    /** Returns the newest limit of each endpoint, with ages at [now] instead of those at the time of receipt. */
    private fun newestLimits(now: Long, received: List<Pair<Long, List<ReportedLimit>>>): List<ReportedLimit> =
        received.flatMap { (receivedNanos, limits) ->
            limits.map { it.copy(ageMillis = it.ageMillis + (now - receivedNanos) / OrderRights.NANOS_PER_MILLI) }
        }.groupBy { it.endpoint }.map { (_, observed) -> observed.minBy { it.ageMillis } }

    private fun silentInDataCentre(now: Long): List<String> {
        val localDigests = digests.values.filter { it.dataCentre == dataCentre }
        return peers.inDataCentre(dataCentre).map { it.member.instance.name }.filter { name ->
            name !in reports && !peers.isHeardDirectly(now, name) && localDigests.none { name !in it.digest.silent }
        }
    }

    private fun sumLoads(loads: List<EndpointLoad>): List<EndpointLoad> =
        loads.groupBy { it.endpoint }.map { (endpoint, parts) ->
            EndpointLoad(
                endpoint,
                parts.sumOf { it.running },
                parts.sumOf { it.unanswered },
                parts.sumOf { it.pendingTokens },
                parts.flatMapTo(LinkedHashSet()) { it.adapters }.toList(),
            )
        }

    private fun contact(now: Long, target: DataCentreId): Contact? {
        val existing = contacts[target]
        if (existing != null && usable(now, existing)) return existing
        val next = peers.inDataCentre(target)
            .filter { mayRelay(now, it) }
            .minWithOrNull(compareBy({ it.member.incarnation }, { it.member.instance.name }))
            ?: return null
        return Contact(next, now).also { contacts[target] = it }
    }

    private fun usable(now: Long, contact: Contact): Boolean {
        val current = peers.get(contact.daemon.member.instance.name)
        if (current == null || current.member != contact.daemon.member || leaving) return false
        if (current.member.instance == self.instance) {
            // A daemon that relays because no other one answered returns to the oldest one after a while.
            return now - contact.sinceNanos < SELF_RELAY_NANOS || oldest(now) == current
        }
        if (now - contact.answeredNanos <= RELAY_TIMEOUT_NANOS) return true
        avoid(now, current, "silent")
        context.ports.reconnect(current)
        return false
    }

    private fun oldest(now: Long): RegisteredDaemon? = peers.inDataCentre(dataCentre).filter { mayRelay(now, it) }
        .minWithOrNull(compareBy({ it.member.incarnation }, { it.member.instance.name }))

    private fun mayRelay(now: Long, daemon: RegisteredDaemon): Boolean {
        if (daemon.member.instance == self.instance) return !leaving
        return (avoidedUntilNanos[daemon.member.instance.name] ?: Long.MIN_VALUE) <= now
    }

    private fun avoid(now: Long, daemon: RegisteredDaemon, reason: String) {
        avoidedUntilNanos[daemon.member.instance.name] = now + AVOID_NANOS
        if (contacts[daemon.dataCentre]?.daemon?.member?.instance == daemon.member.instance) {
            contacts.remove(daemon.dataCentre)
            context.ports.logEvent("relay_lost", mapOf("relay" to daemon.member.toString(), "reason" to reason))
        }
    }

    // The daemon that sends digests of another data centre is its relay, even if it is not the longest running one.
    private fun preferSender(now: Long, sender: RegisteredDaemon) {
        if (sender.dataCentre == dataCentre) return
        val existing = contacts[sender.dataCentre]
        if (existing != null && now - existing.answeredNanos < REMOTE_SEND_INTERVAL_NANOS * 2) return
        contacts[sender.dataCentre] = Contact(sender, now)
        avoidedUntilNanos -= sender.member.instance.name
    }

    private companion object {
        const val SEND_INTERVAL_NANOS = 250_000_000L

        // Traffic between data centres is expensive, so remote relays receive fewer digests.
        const val REMOTE_SEND_INTERVAL_NANOS = 500_000_000L

        // Four reports; after that, the sender no longer counts as live.
        const val REPORT_MAX_AGE_NANOS = 1_100_000_000L
        const val DIGEST_MAX_AGE_NANOS = 1_600_000_000L

        // Five digests.
        const val RELAY_TIMEOUT_NANOS = 1_300_000_000L
        const val AVOID_NANOS = 8_000_000_000L

        // A daemon that relays because no other one answered tries the oldest one again after this time.
        const val SELF_RELAY_NANOS = 4_000_000_000L
        const val CURRENT_VIEW_NANOS = 700_000_000L
        const val SELF_RELAY_SETTLE_NANOS = 1_500_000_000L

        // Every adapter list is resent within this many digests, because messages may be lost.
        const val DIGESTS_PER_ADAPTER_LIST = 16L

        // Two digests of a remote relay.
        const val CUT_NANOS = 1_100_000_000L

        const val DIGESTS_PER_FULL_DIGEST = 24L

        // Every owner is resent within this many digests, well before it would count as unreachable.
        const val DIGESTS_PER_OWNER = 4L
    }
}
