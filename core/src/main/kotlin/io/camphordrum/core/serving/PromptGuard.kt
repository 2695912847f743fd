package io.camphordrum.core.serving

import io.camphordrum.core.Clock
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Finds prompt parts that crash endpoints and blocks the requests that contain them.
 *
 * Daemons exchange crashes, sound answers and blocks in notices and digests, and each decides from all evidence, so
 * the crashes of several endpoints count although each was seen by another daemon. Blocks are stored, and stay in force
 * until an operator deletes them: trying them again would crash another endpoint each time.
 */
public class PromptGuard internal constructor(
    private val context: ServingContext,
    private val clock: Clock,
    private val store: PromptBlockStore,
) {
    private class HeldBlock(var block: PromptBlock, val sinceNanos: Long) {
        var stored = false
        var writing = false
        var writtenNanos = Long.MIN_VALUE / 2
    }

    private class SoundAnswer(val id: String, val begunNanos: Long)

    private val evidence = CrashEvidence()
    private val detector = CrashDetector(context) { now, crash -> addCrash(now, crash, own = true) }
    private val trials = TrialScheduler(context, ::heldPart, ::mayGrant, evidence::hasCrashed)
    private val blocks = LinkedHashMap<String, HeldBlock>()

    // When the blocks that an operator has lifted were decided, by id.
    private val lifted = LinkedHashMap<String, Long>()

    // Last sound answer of this daemon on each part, least recently used first.
    private val soundAnswers = LinkedHashMap<String, SoundAnswer>(16, 0.75f, true)

    // When the last sound answers on any prompt began, oldest first.
    private val lastAnswers = ArrayDeque<Long>()
    private var decideUntilNanos = Long.MIN_VALUE / 2
    private var decidedNanos = Long.MIN_VALUE / 2

    /** Called after a request may have become blocked. */
    public var onBlock: () -> Unit = {}

    /** Number of blocks in force. */
    public val blockCount: Int get() = blocks.size

    /** Number of crashes that may have been caused by a prompt. */
    public val crashCount: Int get() = evidence.crashCount

    /** Number of parts that are suspected. */
    public val suspectCount: Int get() = suspicions().size

    /** Whether other daemons should learn of new evidence before the next notice is due. */
    internal var hasNews: Boolean = false

    /** Returns the block that covers [work], or null. */
    public fun block(work: Work): PromptBlock? = block(work.account, work.promptParts)

    /** Returns whether [work] has a part that is suspected, so that it needs a trial before it is sent. */
    public fun needsTrial(work: Work): Boolean = heldPart(work) != null

    /**
     * Waits for the permission to send [work], which [needsTrial]; [onEnd] receives false if it did not come in time.
     *
     * Calling the result cancels the wait.
     */
    public fun awaitTrial(now: Long, work: Work, onEnd: (Boolean) -> Unit): () -> Unit =
        trials.awaitTrial(now, work, onEnd)

    /** Ends the trial of [work], whose answer is complete or which was not sent. */
    public fun releaseTrial(work: Work): Unit = trials.release(work.id)

    /**
     * Records that the run of [work] at [endpoint] was cut off by the endpoint.
     *
     * Must be called before [ServingCore.recordRunEnd].
     *
     * @param sentNanos when the request was sent.
     * @param begunNanos when the first part of its answer arrived; null if none did.
     */
    public fun recordLoss(now: Long, work: Work, endpoint: EndpointId, sentNanos: Long, begunNanos: Long?): Unit =
        detector.recordLoss(now, work, endpoint, sentNanos, begunNanos)

    /** Records that the answer of [work], which began at [begunNanos], is complete or well under way. */
    public fun recordSoundAnswer(now: Long, work: Work, begunNanos: Long) {
        lastAnswers.addLast(begunNanos)
        if (lastAnswers.size > MIN_SOUND_ANSWERS) lastAnswers.removeFirst()
        for (part in work.promptParts) {
            soundAnswers[part] = SoundAnswer(work.id, begunNanos)
            if (soundAnswers.size > MAX_SOUND_PARTS) soundAnswers.remove(soundAnswers.keys.first())
            clear(now, part)
        }
    }

    /**
     * Applies all stored blocks.
     *
     * A block that is missing is stored again: the store may have lost it. Only [lift] ends a block.
     */
    public fun replaceStored(now: Long, stored: Collection<PromptBlock>) {
        val ids = stored.mapTo(HashSet()) { it.id }
        for ((id, held) in blocks) if (id !in ids) held.stored = false
        stored.forEach { putStored(now, it) }
    }

    /** Applies a stored block. */
    public fun putStored(now: Long, stored: PromptBlock) {
        lifted.remove(stored.id)
        apply(now, stored, "store")
        blocks[stored.id]?.stored = true
    }

    /** Lifts a block that an operator has deleted, and forgets its evidence. */
    public fun lift(id: String) {
        val held = blocks.remove(id) ?: return
        if (lifted.size >= MAX_LIFTED) lifted.remove(lifted.keys.first())
        lifted[id] = held.block.decidedEpochMillis
        evidence.forget(held.block.parts)
        context.ports.logEvent("prompt_unblocked", fields(held.block))
    }

    internal fun receive(now: Long, report: PromptReport) {
        for (run in report.cleanRuns) {
            val begunNanos = now - peerDurationNanos(run.ageMillis)
            if (evidence.addClean(now, run.part, run.id, begunNanos)) recordNews(now, own = false)
        }
        for (crash in report.crashes) addCrash(now, crash, own = false)
        for (block in report.blocks) {
            if ((lifted[block.id] ?: Long.MIN_VALUE) < block.decidedEpochMillis) apply(now, block, "daemon")
        }
    }

    /** Returns what other daemons have to know; null if there is nothing. */
    internal fun report(now: Long): PromptReport? {
        if (evidence.crashCount == 0 && blocks.isEmpty()) return null
        val report = PromptReport(
            evidence.recentCrashes(now, REPORT_NANOS),
            evidence.recentCleanRuns(now, REPORT_NANOS),
            blocks.values.map { it.block },
        )
        return report.takeIf { it != EMPTY_REPORT }
    }

    internal fun tick(now: Long) {
        detector.tick(now)
        if (now < decideUntilNanos && now - decidedNanos >= DECISION_INTERVAL_NANOS) decide(now)
        trials.tick(now)
        blocks.values.forEach { storeIfDue(now, it) }
    }

    internal fun receiveTrialAsk(now: Long, from: String, ask: ServingMessage.TrialAsk) =
        trials.receiveAsk(now, from, ask)

    internal fun receiveTrialEnd(now: Long, from: String, end: ServingMessage.TrialEnd) =
        trials.receiveEnd(now, from, end)

    internal fun receiveTrialDrop(drop: ServingMessage.TrialDrop) = trials.receiveDrop(drop)

    private fun addCrash(now: Long, crash: EndpointCrash, own: Boolean) {
        if (!evidence.add(now, crash)) return
        recordNews(now, own)
        // An answer may have disproved the suspicion before this daemon learned of the crash.
        for (suspect in crash.suspects) suspect.parts.forEach { clear(now, it) }
        if (!own) return
        for (suspect in crash.suspects) {
            val fields = mapOf("id" to suspect.id, "endpoint" to crash.endpoint, "parts" to suspect.parts)
            context.ports.logEvent("crash_suspect", fields + mapOf("account" to suspect.account))
        }
    }

    private fun clear(now: Long, part: String) {
        val answer = soundAnswers[part] ?: return
        if (!evidence.isSuspectBefore(part, answer.begunNanos)) return
        if (evidence.addClean(now, part, answer.id, answer.begunNanos)) recordNews(now, own = true)
    }

    // Relays forward news at once; in a small fleet each daemon sends its own.
    private fun recordNews(now: Long, own: Boolean) {
        decideUntilNanos = now + DECISION_NANOS
        if (own || context.peers.usesRelays) hasNews = true
    }

    private fun decide(now: Long) {
        decidedNanos = now
        val cause = evidence.findCause(settledNanos(now), blocks.values.map { it.block }, ::isExplained) ?: return
        val block =
            PromptBlock(cause.parts, cause.account, cause.endpoints.size, cause.endpoints, clock.epochMillis())
        apply(now, block, "evidence")
        recordNews(now, own = true)
    }

    /**
     * Returns the time before which crashes count as evidence.
     *
     * Endpoints must have answered other requests since then: while all of them are down, no answer can disprove a
     * suspicion.
     */
    private fun settledNanos(now: Long): Long {
        val answeredNanos = if (lastAnswers.size < MIN_SOUND_ANSWERS) Long.MIN_VALUE else lastAnswers.min()
        return minOf(now - SETTLE_NANOS, answeredNanos)
    }

    private fun apply(now: Long, block: PromptBlock, source: String) {
        val held = blocks[block.id]
        if (held != null) {
            if (block.decidedEpochMillis > held.block.decidedEpochMillis) held.block = block
            return
        }
        if (blocks.size >= MAX_BLOCKS) blocks.remove(blocks.keys.first())
        blocks[block.id] = HeldBlock(block, now)
        evidence.invalidate()
        context.ports.logEvent("prompt_blocked", fields(block) + mapOf("source" to source))
        onBlock()
    }

    /** Stores [held]; the first live daemon by rank writes it at once, the others later if it still is not stored. */
    private fun storeIfDue(now: Long, held: HeldBlock) {
        if (held.stored || held.writing || now - held.writtenNanos < WRITE_INTERVAL_NANOS) return
        val ranked = Rendezvous.order(held.block.id, context.peers.liveDaemons(now)) { it.member.instance.name }
        val rank = ranked.indexOfFirst { it.member.instance == context.self }.coerceAtLeast(0)
        if (now - held.sinceNanos < rank * WRITE_INTERVAL_NANOS) return
        held.writing = true
        held.writtenNanos = now
        store.create(held.block) { stored ->
            held.writing = false
            held.stored = stored
        }
    }

    private fun block(account: String?, parts: Collection<String>): PromptBlock? =
        if (parts.isEmpty()) null else blocks.values.firstOrNull { it.block.covers(account, parts) }?.block

    private fun isExplained(suspect: SuspectRequest): Boolean = block(suspect.account, suspect.parts) != null

    private fun suspicions() = evidence.suspicions(::isExplained)

    /** Returns the part of [work] that is most suspected; null if none needs a trial. */
    private fun heldPart(work: Work): String? {
        if (work.promptParts.isEmpty() || (evidence.crashCount == 0 && blocks.isEmpty())) return null
        val now = clock.nanos()
        val unproven = work.promptParts.filter { !isEstablished(now, it) }
        // The part may be blocked for other requests only: for another account, or together with another part.
        unproven.firstOrNull { part -> blocks.values.any { part in it.block.parts } }?.let { return it }
        val all = suspicions()
        return unproven.mapNotNull { all[it] }.filter { it.crashes.size >= MIN_CRASHES_FOR_TRIAL }
            .maxWithOrNull(compareBy({ it.chain }, { it.crashes.size }))?.part
    }

    // A trial at a time would starve parts that are in use everywhere. After a crash for another reason these prove
    // sound soon without trials.
    private fun isEstablished(now: Long, part: String): Boolean {
        val begunNanos = soundAnswers[part]?.begunNanos ?: Long.MIN_VALUE / 2
        return now - maxOf(begunNanos, evidence.cleanNanos(part)) < ESTABLISHED_NANOS
    }

    // A further trial before the last crash can be judged would only crash another endpoint.
    private fun mayGrant(now: Long, part: String): Boolean =
        suspicions()[part]?.let { now - it.lastNanos >= SETTLE_NANOS } != false

    private fun fields(block: PromptBlock): Map<String, Any?> = mapOf(
        "parts" to block.parts,
        "account" to block.account,
        "crashes" to block.crashes,
        "endpoints" to block.endpoints,
        "decidedEpochMillis" to block.decidedEpochMillis,
    )

    private companion object {
        // An answer that began before the crash was known is well under way and reported within this time.
        const val SETTLE_NANOS = 500_000_000L
        const val ESTABLISHED_NANOS = 10_000_000_000L

        // Longer than a partition within which daemons learn different crashes usually lasts.
        const val REPORT_NANOS = 15_000_000_000L
        const val WRITE_INTERVAL_NANOS = 1_000_000_000L

        // A decision waits for sound answers after the last crash; endpoints that crashed are back within seconds.
        const val DECISION_NANOS = 10_000_000_000L
        const val DECISION_INTERVAL_NANOS = 50_000_000L
        const val MAX_SOUND_PARTS = 8_192
        const val MIN_SOUND_ANSWERS = 3
        const val MIN_CRASHES_FOR_TRIAL = 2
        const val MAX_BLOCKS = 64
        const val MAX_LIFTED = 256
        val EMPTY_REPORT = PromptReport()
    }
}
