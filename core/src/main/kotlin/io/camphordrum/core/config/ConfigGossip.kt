package io.camphordrum.core.config

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlinx.serialization.StringFormat

/**
 * Replicates revisions between daemons by gossip: pushes new ones to peers and fetches missed ones.
 *
 * ```kotlin
 * val gossip = ConfigGossip(self, DataCentreId("a"), Json)
 * gossip.setPeers(mapOf(DataCentreId("a") to members))
 * run(gossip.publish(now, tree, records))   // after StoreEffect.Installed
 * run(gossip.receive(now, from, message))
 * ```
 *
 * @param format serial format of chunks; must equal that of [ConfigStore].
 * @param seed determines the peers that receive the first notices.
 */
public class ConfigGossip(
    private val self: Member,
    private val dataCentre: DataCentreId,
    format: StringFormat,
    private val options: GossipOptions = GossipOptions(),
    seed: Long = 0,
) {
    private val chunks = TreeChunks(format)
    private val log = ChangeLog(options)
    private var localPeers = emptyList<Member>()
    private var remotePeers = emptyMap<DataCentreId, List<Member>>()
    private var roundRobinIndex = seed
    private var nextNoticeNanos = Long.MIN_VALUE
    private var nextRemoteNoticeNanos = Long.MIN_VALUE
    private var fetch: PeerFetch? = null
    private val effects = ArrayList<GossipEffect>()

    /** The newest revision known to be valid. */
    public var tree: Tree = Tree.empty()
        private set

    /** Monotonic time at which a peer last confirmed that it has no revision newer than [tree]; null before that. */
    public var confirmedNanos: Long? = null
        private set

    /** Replaces the peers, which are grouped by data centre and include those of the local one. */
    public fun setPeers(peers: Map<DataCentreId, List<Member>>) {
        localPeers = peers[dataCentre].orEmpty().filter { it.instance != self.instance }
        remotePeers = (peers - dataCentre).filterValues { it.isNotEmpty() }
    }

    /** Returns the message that announces the revision in force; to be sent to peers periodically. */
    public fun notice(): ConfigMessage = ConfigMessage.Notice(tree.revision)

    /** Installs a revision read from the platform and pushes [records] to peers; an older one is ignored. */
    public fun publish(now: Long, newer: Tree, records: List<ChangeRecord>): List<GossipEffect> {
        if (newer.revision <= tree.revision) return emptyList()
        val pushed = records.map { it.copy(undo = emptyList()) }.takeIf { canPush(newer, it) }.orEmpty()
        tree = newer
        log.add(newer.revision, pushed)
        val message = pushMessage(pushed)
        for (peer in localPeers) send(peer, message)
        for (members in remotePeers.values) {
            val preferred = Rendezvous.order(self.instance.name, members) { it.instance.name }
            for (peer in preferred.take(options.remotePushPeers)) send(peer, message)
        }
        finishOrExtendFetch(now)
        return flushEffects()
    }

    private fun canPush(newer: Tree, records: List<ChangeRecord>): Boolean =
        records.isNotEmpty() &&
            records.first().revision == tree.revision + 1 &&
            records.last().revision == newer.revision &&
            records.none { it.change.edits.isEmpty() }

    // When the changes do not fit into one message, peers receive a notice and fetch what they miss.
    private fun pushMessage(records: List<ChangeRecord>): ConfigMessage {
        val fits = records.isNotEmpty() && records.sumOf(::recordWeight) <= options.maxMessageBytes
        return if (fits) ConfigMessage.Changes(tree.revision, records) else notice()
    }

    /** Handles a message of a peer; it may be late, duplicated or out of order. */
    public fun receive(now: Long, from: Member, message: ConfigMessage): List<GossipEffect> {
        when (message) {
            is ConfigMessage.Notice -> onNotice(now, from, message.revision)
            is ConfigMessage.Fetch -> sendChanges(from, message.revision)
            is ConfigMessage.Changes -> onChanges(now, from, message)
            is ConfigMessage.Index -> onIndex(now, from, message)
            is ConfigMessage.FetchChunks -> sendChunks(from, message)
            is ConfigMessage.Chunk -> onChunk(now, from, message)
        }
        return flushEffects()
    }

    private fun onNotice(now: Long, from: Member, revision: Long) {
        when {
            revision == tree.revision -> confirmedNanos = now
            revision > tree.revision -> startFetch(now, from, revision)
            else -> sendChanges(from, revision)
        }
    }

    private fun sendChanges(to: Member, revision: Long) {
        if (revision >= tree.revision) return send(to, notice())
        val records = log.after(revision)
        when {
            records.isNotEmpty() -> send(to, ConfigMessage.Changes(tree.revision, records))
            else -> send(to, ConfigMessage.Index(tree.revision, chunks.addresses(tree)))
        }
    }

    private fun onChanges(now: Long, from: Member, message: ConfigMessage.Changes) {
        val accepted = ArrayList<ChangeRecord>()
        var next = tree
        for (record in message.records) {
            if (record.revision != next.revision + 1) continue
            when (val result = next.apply(record.change)) {
                is ApplyResult.Applied -> next = result.tree
                is ApplyResult.Stale ->
                    return rejectChanges(now, from, record.revision, "expected base ${next.revision}")
                is ApplyResult.Invalid ->
                    return rejectChanges(now, from, record.revision, result.errors.first().toString())
            }
            accepted += record
        }
        if (accepted.isNotEmpty()) install(now, from, next, accepted)
        if (message.latest > tree.revision) startFetch(now, from, message.latest)
        if (message.latest == tree.revision) confirmedNanos = now
    }

    // Changes that cannot be applied to the local tree are replaced by a full copy.
    private fun rejectChanges(now: Long, from: Member, revision: Long, reason: String) {
        effects += GossipEffect.Unreadable(from, revision, reason)
        if (fetch?.chunkAddresses != null) return
        fetch = PeerFetch(from, tree, revision, now + options.fetchTimeoutNanos)
        send(from, ConfigMessage.Fetch(FULL_COPY_REVISION))
    }

    private fun install(now: Long, from: Member, newer: Tree, records: List<ChangeRecord>) {
        tree = newer
        log.add(newer.revision, records)
        effects += GossipEffect.Installed(newer)
        // Changes from another data centre reach only a few members of this one, which forward them.
        if (remotePeers.values.any { from in it }) {
            val message = pushMessage(records)
            for (peer in localPeers) send(peer, message)
        }
        finishOrExtendFetch(now)
    }

    private fun finishOrExtendFetch(now: Long) {
        val active = fetch ?: return
        if (active.revision <= tree.revision) fetch = null else active.deadlineNanos = now + options.fetchTimeoutNanos
    }

    private fun startFetch(now: Long, from: Member, revision: Long) {
        if (fetch != null) return
        fetch = PeerFetch(from, tree, revision, now + options.fetchTimeoutNanos)
        send(from, ConfigMessage.Fetch(tree.revision))
    }

    private fun onIndex(now: Long, from: Member, message: ConfigMessage.Index) {
        if (message.revision <= tree.revision) return
        val active = fetch
        if (active?.chunkAddresses != null && active.revision >= message.revision) return
        val next = PeerFetch(from, tree, message.revision, now + options.fetchTimeoutNanos)
        next.chunkAddresses = message.chunks
        val knownAddresses = chunks.addresses(tree).toSet()
        // Chunks already received for an older revision are reused if the newer one contains them.
        for (address in message.chunks) active?.texts?.get(address)?.let { next.texts[address] = it }
        next.missingChunks = message.chunks.filterTo(LinkedHashSet()) { it !in knownAddresses && it !in next.texts }
        fetch = next
        requestChunks(now, next)
    }

    private fun requestChunks(now: Long, active: PeerFetch) {
        val chunkAddresses = active.chunkAddresses ?: return
        if (active.missingChunks.isNotEmpty()) {
            active.requestedChunks = active.missingChunks.take(CHUNKS_PER_FETCH).toSet()
            return send(active.peer, ConfigMessage.FetchChunks(active.revision, active.requestedChunks.toList()))
        }
        fetch = null
        when (val built = chunks.assemble(active.base, active.revision, chunkAddresses, active.texts)) {
            is AssemblyResult.Failed -> effects += GossipEffect.Unreadable(active.peer, active.revision, built.reason)
            is AssemblyResult.Built -> {
                install(now, active.peer, built.tree, emptyList())
                confirmedNanos = now
            }
        }
    }

    private fun sendChunks(to: Member, message: ConfigMessage.FetchChunks) {
        val found = message.chunks.take(CHUNKS_PER_FETCH).map { chunks.chunk(tree, it) }
        if (null in found && message.revision < tree.revision) {
            send(to, ConfigMessage.Index(tree.revision, chunks.addresses(tree)))
        }
        for (text in found) if (text != null) send(to, ConfigMessage.Chunk(message.revision, text))
    }

    private fun onChunk(now: Long, from: Member, message: ConfigMessage.Chunk) {
        val active = fetch ?: return
        val address = TreeChunks.addressOf(message.text)
        if (from != active.peer || !active.missingChunks.remove(address)) return
        active.texts[address] = message.text
        active.deadlineNanos = now + options.fetchTimeoutNanos
        if (active.requestedChunks.none { it in active.missingChunks }) requestChunks(now, active)
    }

    /** Sends the notices that are due and cancels a fetch that timed out; call at least every 100 ms. */
    public fun tick(now: Long): List<GossipEffect> {
        if (now >= nextNoticeNanos) {
            nextNoticeNanos = now + options.noticePeriodNanos
            roundRobinIndex++
            if (localPeers.isNotEmpty()) send(localPeers[Math.floorMod(roundRobinIndex, localPeers.size)], notice())
        }
        if (now >= nextRemoteNoticeNanos) {
            nextRemoteNoticeNanos = now + options.remoteNoticePeriodNanos
            val allRemotePeers = remotePeers.values.flatten()
            if (allRemotePeers.isNotEmpty()) {
                send(allRemotePeers[Math.floorMod(roundRobinIndex, allRemotePeers.size)], notice())
            }
        }
        // The next notice from any peer with a newer revision starts another fetch.
        if (fetch?.let { now >= it.deadlineNanos } == true) fetch = null
        return flushEffects()
    }

    private fun send(to: Member, message: ConfigMessage) {
        effects += GossipEffect.Send(to, message)
    }

    private fun flushEffects(): List<GossipEffect> = effects.toList().also { effects.clear() }

    private companion object {
        const val CHUNKS_PER_FETCH = 16

        // Precedes the records of every change log, so that the reply is an index.
        const val FULL_COPY_REVISION = -1L
    }
}
