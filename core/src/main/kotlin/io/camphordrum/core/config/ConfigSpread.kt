package io.camphordrum.core.config

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlinx.serialization.StringFormat

/**
 * Spreads revisions between daemons and catches up from peers.
 *
 * ```kotlin
 * val spread = ConfigSpread(self, DataCentreId("a"), Json)
 * spread.peers(mapOf(DataCentreId("a") to members))
 * run(spread.installed(now, tree, records))   // after StoreEffect.Installed
 * run(spread.receive(now, from, message))
 * ```
 *
 * @param format the form of chunks; the same as that of [ConfigStore].
 * @param seed seeds the choice of the peers that notices start with.
 */
public class ConfigSpread(
    private val self: Member,
    private val dataCentre: DataCentreId,
    format: StringFormat,
    private val options: SpreadOptions = SpreadOptions(),
    seed: Long = 0,
) {
    private val chunks = TreeChunks(format)
    private val log = ChangeLog(options)
    private var local = emptyList<Member>()
    private var remote = emptyMap<DataCentreId, List<Member>>()
    private var turn = seed
    private var noticeAt = Long.MIN_VALUE
    private var remoteNoticeAt = Long.MIN_VALUE
    private var fetch: PeerFetch? = null
    private val out = ArrayList<SpreadEffect>()

    /** The newest revision known to be valid. */
    public var tree: Tree = Tree.empty()
        private set

    /** Monotonic time at which a peer last confirmed that [tree] is the newest it knows; null before the first. */
    public var confirmedNanos: Long? = null
        private set

    /** Sets the peers by data centre; the own data centre is among them. */
    public fun peers(peers: Map<DataCentreId, List<Member>>) {
        local = peers[dataCentre].orEmpty().filter { it.instance != self.instance }
        remote = (peers - dataCentre).filterValues { it.isNotEmpty() }
    }

    /** Returns the message that tells a peer the revision in force; to be sent with heartbeats. */
    public fun notice(): ConfigMessage = ConfigMessage.Notice(tree.revision)

    /** Takes over a revision that came from the platform and pushes [records] to peers; an older one is ignored. */
    public fun installed(now: Long, newer: Tree, records: List<ChangeRecord>): List<SpreadEffect> {
        if (newer.revision <= tree.revision) return emptyList()
        val pushed = records.map { it.copy(undo = emptyList()) }.takeIf { leadsTo(newer, it) }.orEmpty()
        tree = newer
        log.add(newer.revision, pushed)
        val message = pushMessage(pushed)
        for (peer in local) send(peer, message)
        for (members in remote.values) {
            val near = Rendezvous.order(self.instance.name, members) { it.instance.name }
            for (peer in near.take(options.remotePeers)) send(peer, message)
        }
        dropFetch(now)
        return take()
    }

    private fun leadsTo(newer: Tree, records: List<ChangeRecord>): Boolean =
        records.isNotEmpty() &&
            records.first().revision == tree.revision + 1 &&
            records.last().revision == newer.revision &&
            records.none { it.change.edits.isEmpty() }

    // Changes that do not fit into one message are fetched by those who miss them.
    private fun pushMessage(records: List<ChangeRecord>): ConfigMessage {
        val fits = records.isNotEmpty() && records.sumOf(::recordWeight) <= options.messageBytes
        return if (fits) ConfigMessage.Changes(tree.revision, records) else notice()
    }

    /** Takes a message of a peer; it may be late, duplicated or out of order. */
    public fun receive(now: Long, from: Member, message: ConfigMessage): List<SpreadEffect> {
        when (message) {
            is ConfigMessage.Notice -> noticed(now, from, message.revision)
            is ConfigMessage.Fetch -> answerFetch(from, message.revision)
            is ConfigMessage.Changes -> changes(now, from, message)
            is ConfigMessage.Index -> index(now, from, message)
            is ConfigMessage.FetchChunks -> answerChunks(from, message)
            is ConfigMessage.Chunk -> chunk(now, from, message)
        }
        return take()
    }

    private fun noticed(now: Long, from: Member, revision: Long) {
        when {
            revision == tree.revision -> confirmedNanos = now
            revision > tree.revision -> startFetch(now, from, revision)
            else -> answerFetch(from, revision)
        }
    }

    private fun answerFetch(to: Member, revision: Long) {
        if (revision >= tree.revision) return send(to, notice())
        val records = log.after(revision)
        when {
            records.isNotEmpty() -> send(to, ConfigMessage.Changes(tree.revision, records))
            else -> send(to, ConfigMessage.Index(tree.revision, chunks.addresses(tree)))
        }
    }

    private fun changes(now: Long, from: Member, message: ConfigMessage.Changes) {
        val accepted = ArrayList<ChangeRecord>()
        var next = tree
        for (record in message.records) {
            if (record.revision != next.revision + 1) continue
            when (val result = next.apply(record.change)) {
                is ApplyResult.Applied -> next = result.tree
                is ApplyResult.Stale -> return unreadable(now, from, record.revision, "expected base ${next.revision}")
                is ApplyResult.Invalid ->
                    return unreadable(now, from, record.revision, result.errors.first().toString())
            }
            accepted += record
        }
        if (accepted.isNotEmpty()) install(now, from, next, accepted)
        if (message.latest > tree.revision) startFetch(now, from, message.latest)
        if (message.latest == tree.revision) confirmedNanos = now
    }

    // Changes that do not fit the own tree are replaced by a full copy.
    private fun unreadable(now: Long, from: Member, revision: Long, reason: String) {
        out += SpreadEffect.Unreadable(from, revision, reason)
        if (fetch?.wanted != null) return
        fetch = PeerFetch(from, tree, revision, now + options.fetchTimeoutNanos)
        send(from, ConfigMessage.Fetch(WHOLE))
    }

    private fun install(now: Long, from: Member, newer: Tree, records: List<ChangeRecord>) {
        tree = newer
        log.add(newer.revision, records)
        out += SpreadEffect.Installed(newer)
        // Changes from another data centre reach only a few members here, which pass them on.
        if (remote.values.any { from in it }) {
            val message = pushMessage(records)
            for (peer in local) send(peer, message)
        }
        dropFetch(now)
    }

    private fun dropFetch(now: Long) {
        val running = fetch ?: return
        if (running.revision <= tree.revision) fetch = null else running.deadline = now + options.fetchTimeoutNanos
    }

    private fun startFetch(now: Long, from: Member, revision: Long) {
        if (fetch != null) return
        fetch = PeerFetch(from, tree, revision, now + options.fetchTimeoutNanos)
        send(from, ConfigMessage.Fetch(tree.revision))
    }

    private fun index(now: Long, from: Member, message: ConfigMessage.Index) {
        if (message.revision <= tree.revision) return
        val running = fetch
        if (running?.wanted != null && running.revision >= message.revision) return
        val next = PeerFetch(from, tree, message.revision, now + options.fetchTimeoutNanos)
        next.wanted = message.chunks
        val have = chunks.addresses(tree).toSet()
        // Chunks of an overtaken copy are kept when the newer one has them, too.
        for (address in message.chunks) running?.texts?.get(address)?.let { next.texts[address] = it }
        next.missing = message.chunks.filterTo(LinkedHashSet()) { it !in have && it !in next.texts }
        fetch = next
        askChunks(now, next)
    }

    private fun askChunks(now: Long, running: PeerFetch) {
        val wanted = running.wanted ?: return
        if (running.missing.isNotEmpty()) {
            running.asked = running.missing.take(CHUNKS_PER_FETCH).toSet()
            return send(running.from, ConfigMessage.FetchChunks(running.revision, running.asked.toList()))
        }
        fetch = null
        when (val built = chunks.assemble(running.base, running.revision, wanted, running.texts)) {
            is Assembly.Failed -> out += SpreadEffect.Unreadable(running.from, running.revision, built.reason)
            is Assembly.Built -> {
                install(now, running.from, built.tree, emptyList())
                confirmedNanos = now
            }
        }
    }

    private fun answerChunks(to: Member, message: ConfigMessage.FetchChunks) {
        val found = message.chunks.take(CHUNKS_PER_FETCH).map { chunks.chunk(tree, it) }
        if (null in found && message.revision < tree.revision) {
            send(to, ConfigMessage.Index(tree.revision, chunks.addresses(tree)))
        }
        for (text in found) if (text != null) send(to, ConfigMessage.Chunk(message.revision, text))
    }

    private fun chunk(now: Long, from: Member, message: ConfigMessage.Chunk) {
        val running = fetch ?: return
        val address = TreeChunks.addressOf(message.text)
        if (from != running.from || !running.missing.remove(address)) return
        running.texts[address] = message.text
        running.deadline = now + options.fetchTimeoutNanos
        if (running.asked.none { it in running.missing }) askChunks(now, running)
    }

    /** Sends the notices and repeats the fetches that are due; call at least every 100 ms. */
    public fun tick(now: Long): List<SpreadEffect> {
        if (now >= noticeAt) {
            noticeAt = now + options.noticeNanos
            turn++
            if (local.isNotEmpty()) send(local[Math.floorMod(turn, local.size)], notice())
        }
        if (now >= remoteNoticeAt) {
            remoteNoticeAt = now + options.remoteNoticeNanos
            val others = remote.values.flatten()
            if (others.isNotEmpty()) send(others[Math.floorMod(turn, others.size)], notice())
        }
        // The next notice of any peer starts another fetch.
        if (fetch?.let { now >= it.deadline } == true) fetch = null
        return take()
    }

    private fun send(to: Member, message: ConfigMessage) {
        out += SpreadEffect.Send(to, message)
    }

    private fun take(): List<SpreadEffect> = out.toList().also { out.clear() }

    private companion object {
        const val CHUNKS_PER_FETCH = 16

        // A revision that no log reaches, so that the answer is an index.
        const val WHOLE = -1L
    }
}
