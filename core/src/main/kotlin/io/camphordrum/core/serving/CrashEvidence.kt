package io.camphordrum.core.serving

/**
 * Collects crashes of endpoints and decides which prompt parts caused them.
 *
 * A part is suspected after each crash of an endpoint that was about to answer a request with it, until an answer gets
 * well under way on it. Crashes for other reasons suspect sound parts too, so the decision rests on the longest chain
 * of crashes in which each request was sent after the crash before: such requests are independent trials of the part,
 * while many crashes at one moment are a single one. While endpoints also crash without the part, the chain must be
 * longer.
 */
internal class CrashEvidence {
    /** Holds one crash; [suspects] by request id. */
    class Crash(val endpoint: String, val startedEpochMillis: Long, var atNanos: Long, var learnedNanos: Long) {
        val suspects = LinkedHashMap<String, SuspectRequest>()
    }

    /** Holds the begin of the last answer that got well under way on a part. */
    private class Clean(val id: String, var begunNanos: Long, val learnedNanos: Long)

    /**
     * Summarizes the crashes since the last sound answer on [part].
     *
     * @property chain crashes of requests that were each sent after the crash before.
     */
    class Suspicion(val part: String, val crashes: List<Crash>, val requests: List<SuspectRequest>, val chain: Int) {
        val lastNanos get() = crashes.maxOf { it.atNanos }
    }

    private val crashes = LinkedHashMap<Pair<String, Long>, Crash>()
    private val cleanRuns = LinkedHashMap<String, Clean>()
    private var suspicions: Map<String, Suspicion>? = null

    /** Number of crashes that are remembered. */
    val crashCount: Int get() = crashes.size

    /** Merges [crash], which may be known in part; returns whether it says anything new. */
    fun add(now: Long, crash: EndpointCrash): Boolean {
        val atNanos = now - peerDurationNanos(crash.ageMillis)
        val key = crash.endpoint to crash.startedEpochMillis
        val known = crashes[key]
        val merged = known ?: Crash(crash.endpoint, crash.startedEpochMillis, atNanos, now).also {
            if (crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
            crashes[key] = it
        }
        // Reports arrive late, so the earliest estimate is the best one.
        merged.atNanos = minOf(merged.atNanos, atNanos)
        var changed = known == null
        for (suspect in crash.suspects) {
            if (merged.suspects.size < MAX_SUSPECTS && merged.suspects.putIfAbsent(suspect.id, suspect) == null) {
                changed = true
            }
        }
        if (changed) {
            merged.learnedNanos = now
            suspicions = null
        }
        return changed
    }

    /** Records the sound answer [id] on [part], which began at [begunNanos]; returns whether it is new. */
    fun addClean(now: Long, part: String, id: String, begunNanos: Long): Boolean {
        val known = cleanRuns[part]
        if (known?.id == id) {
            known.begunNanos = minOf(known.begunNanos, begunNanos)
            return false
        }
        if (known != null && known.begunNanos >= begunNanos) return false
        if (known == null && cleanRuns.size >= MAX_CLEAN_PARTS) cleanRuns.remove(cleanRuns.keys.first())
        cleanRuns[part] = Clean(id, begunNanos, now)
        suspicions = null
        return true
    }

    /** Returns when the last known sound answer on the suspected [part] began; in the distant past if none did. */
    fun cleanNanos(part: String): Long = cleanRuns[part]?.begunNanos ?: (Long.MIN_VALUE / 2)

    /** Returns whether [part] is suspected of a crash before [nanos]. */
    fun isSuspectBefore(part: String, nanos: Long): Boolean =
        crashes.values.any { crash -> crash.atNanos < nanos && suspects(crash, part).isNotEmpty() }

    /** Returns the suspicion against each part, leaving out crashes that [isExplained] by a block. */
    fun suspicions(isExplained: (SuspectRequest) -> Boolean): Map<String, Suspicion> =
        suspicions ?: summarize(openCrashes(isExplained)).also { suspicions = it }

    /** Makes the next call of [suspicions] consider changed blocks. */
    fun invalidate() {
        suspicions = null
    }

    /**
     * Returns the requests that have to be blocked now, as what they have in common.
     *
     * @param settledNanos time after which crashes do not count yet, because an answer may still disprove them.
     */
    fun findCause(
        settledNanos: Long,
        blocks: Collection<PromptBlock>,
        isExplained: (SuspectRequest) -> Boolean,
    ): Cause? {
        val settled = openCrashes(isExplained).filter { it.atNanos <= settledNanos }
        val all = summarize(settled)
        return all.values.sortedWith(compareBy({ -it.chain }, { -it.crashes.size }, { it.part })).firstNotNullOfOrNull {
            cause(it, all, settled, blocks)
        }
    }

    /** Forgets the crashes of requests with all of [parts]. */
    fun forget(parts: List<String>) {
        for (crash in crashes.values) crash.suspects.values.removeAll { it.parts.containsAll(parts) }
        suspicions = null
    }

    /** Returns the crashes that were learned within the last [nanos], with the parts that are still suspected. */
    fun recentCrashes(now: Long, nanos: Long): List<EndpointCrash> =
        crashes.values.filter { now - it.learnedNanos < nanos }.map { crash ->
            val suspects = crash.suspects.values
                .map { it.copy(parts = it.parts.filter { part -> !isCleared(crash, part) }) }
                .filter { it.parts.isNotEmpty() }
            val ageMillis = (now - crash.atNanos) / OrderRights.NANOS_PER_MILLI
            EndpointCrash(crash.endpoint, crash.startedEpochMillis, ageMillis, suspects)
        }

    /** Returns the sound answers that were learned within the last [nanos]. */
    fun recentCleanRuns(now: Long, nanos: Long): List<CleanRun> =
        cleanRuns.filterValues { now - it.learnedNanos < nanos }.map { (part, clean) ->
            CleanRun(part, clean.id, (now - clean.begunNanos) / OrderRights.NANOS_PER_MILLI)
        }

    /** Returns whether the request [id] is among the suspects of a crash. */
    fun hasCrashed(id: String): Boolean = crashes.values.any { id in it.suspects }

    private fun cause(
        suspicion: Suspicion,
        all: Map<String, Suspicion>,
        settled: List<Crash>,
        blocks: Collection<PromptBlock>,
    ): Cause? {
        val found = suspicion.crashes
        if (suspicion.requests.distinctBy { it.id }.size < 2) return null
        val unrelated = settled.count { it !in found && suspicion.lastNanos - it.atNanos < UNRELATED_NANOS }
        val required = MIN_CHAIN + unrelated / UNRELATED_PER_CRASH
        // A part that is blocked for another account, or together with another part, needs one crash less.
        val isBlockedElsewhere = blocks.any { suspicion.part in it.parts }
        if (suspicion.chain < if (isBlockedElsewhere) required - 1 else required) return null
        val common = suspicion.requests.map { it.parts }.reduce { a, b -> a.filter { it in b } }
            .filter { part -> found.none { isCleared(it, part) } }
        // Repeats of sound requests meet bad ones again, so crashes that another suspect explains as well do not count.
        val others = all.values.filter { it.part !in common && it.chain >= 2 && it.chain > suspicion.chain / 2 }
        val unambiguous = found.count { crash -> others.none { crash in it.crashes } }
        if (unambiguous < MIN_UNAMBIGUOUS) return null
        val accounts = suspicion.requests.mapTo(HashSet()) { it.account }
        blocks.filter { it.parts.containsAll(common) }.mapTo(accounts) { it.account }
        return Cause(common, accounts.singleOrNull(), found.map { it.endpoint })
    }

    private fun openCrashes(isExplained: (SuspectRequest) -> Boolean): List<Crash> =
        crashes.values.filter { crash -> crash.suspects.values.none(isExplained) }.sortedBy { it.atNanos }

    private fun summarize(open: List<Crash>): Map<String, Suspicion> {
        val parts = open.flatMapTo(LinkedHashSet()) { crash -> crash.suspects.values.flatMap { it.parts } }
        return parts.mapNotNull { summarize(it, open) }.associateBy { it.part }
    }

    private fun summarize(part: String, open: List<Crash>): Suspicion? {
        val found = open.filter { suspects(it, part).isNotEmpty() }
        if (found.isEmpty()) return null
        var chain = 0
        var lastNanos = Long.MIN_VALUE
        for (crash in found) {
            val sentNanos = crash.atNanos - peerDurationNanos(suspects(crash, part).minOf { it.inFlightMillis })
            if (sentNanos <= lastNanos) continue
            chain++
            lastNanos = crash.atNanos
        }
        return Suspicion(part, found, found.flatMap { suspects(it, part) }, chain)
    }

    private fun suspects(crash: Crash, part: String): List<SuspectRequest> =
        if (isCleared(crash, part)) emptyList() else crash.suspects.values.filter { part in it.parts }

    private fun isCleared(crash: Crash, part: String): Boolean =
        cleanRuns[part]?.let { it.begunNanos > crash.atNanos } == true

    /** Describes what the requests that crashed [endpoints] have in common; [account] is null if they had several. */
    class Cause(val parts: List<String>, val account: String?, val endpoints: List<String>)

    private companion object {
        const val MAX_CRASHES = 128
        const val MAX_SUSPECTS = 256
        const val MAX_CLEAN_PARTS = 4_096

        // A first crash and two trials after it.
        const val MIN_CHAIN = 3

        // Crashes that no other suspect explains.
        const val MIN_UNAMBIGUOUS = 2

        // Crashes for other reasons make a coincidence more likely, so that each two of them require one more trial.
        const val UNRELATED_PER_CRASH = 2
        const val UNRELATED_NANOS = 15_000_000_000L
    }
}
