package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.WriteOutcome

/**
 * Moves parts of the limits between data centres through the platform object `allotments`.
 *
 * Only the coordinator of a data centre's current generation writes, after it has claimed the data centre's entry
 * with a conditional write. The claim changes the object's version, so that a delayed write of an older coordinator
 * cannot take effect afterwards. Parts that are being given are not available from the start of the write until it is
 * known to have failed.
 *
 * ```kotlin
 * val allotments = Allotments(dataCentre, dataCentres, parameters)
 * execute(allotments.lead(now, generation.number))
 * allotments.parts(account) // null until the claim is known to have taken effect
 * ```
 *
 * Each write must be reported exactly once with [written] before the next one is started.
 */
public class Allotments(
    private val dataCentre: DataCentreId,
    private val founders: List<DataCentreId>,
    private val parameters: ShareParameters = ShareParameters(),
) {
    private class Gift(val to: DataCentreId, val account: AccountId, val parts: Int)

    private class Attempt(val record: AllotmentRecord, val expectedVersion: Long, val fresh: Boolean)

    private var generation: Long? = null
    private var record: AllotmentRecord? = null

    // The version of the record, or null if it has to be read first.
    private var version: Long? = null
    private var newestVersion = 0L
    private var attempt: Attempt? = null
    private var awaitingOutcome = false
    private var writes = 0L
    private var wanted: Map<AccountId, Int> = emptyMap()
    private var gifts: List<Gift> = emptyList()
    private var readAt: Long? = null
    private var wroteAt: Long? = null

    /** True once this coordinator's claim took effect, until a newer coordinator's claim is seen. */
    public var claimed: Boolean = false
        private set

    /** True if the claim created the data centre's entry; only then nobody can have used its parts before. */
    public var fresh: Boolean = false
        private set

    /** True if no write is open, so that parts can be given. */
    public val canGive: Boolean get() = claimed && attempt == null && gifts.isEmpty()

    /** Begins to act for the coordinator of [generation], or stops if it is null. */
    public fun lead(now: Long, generation: Long?): List<AllotmentEffect> {
        this.generation = generation
        claimed = false
        fresh = false
        attempt = null
        gifts = emptyList()
        wanted = emptyMap()
        writes = 0
        version = null
        return if (generation == null) emptyList() else read(now)
    }

    /** Returns the parts of [account] that this data centre may hold now; null unless [claimed]. */
    public fun parts(account: AccountId): Int? {
        val current = record?.takeIf { claimed } ?: return null
        return current.parts(dataCentre, account) - gifts.filter { it.account == account }.sumOf { it.parts }
    }

    /** Returns the parts that this data centre holds of every account by default; 0 until the object was read. */
    public fun defaultParts(): Int = record?.defaultParts(dataCentre) ?: 0

    /** Sets the parts that this data centre's demand uses; changes are written in steps. */
    public fun want(wanted: Map<AccountId, Int>) {
        val steps = HashMap<AccountId, Int>()
        for ((account, parts) in wanted) {
            val old = this.wanted[account] ?: 0
            // A value stays until demand exceeds it or falls clearly, so that steady demand causes no writes.
            val keep = parts <= old && parts > old - KEPT_STEPS * WANTED_STEP
            val step = if (keep) old else (parts / WANTED_STEP + if (parts > 0) 2 else 0) * WANTED_STEP
            if (step > 0) steps[account] = minOf(step, AllotmentRecord.PARTS)
        }
        this.wanted = if (steps.size <= MAX_LISTED) {
            steps
        } else {
            steps.entries.sortedByDescending { it.value }.take(MAX_LISTED).associate { it.key to it.value }
        }
    }

    /** Returns what other data centres lack and this one can spare, at most one receiver for each account. */
    public fun requests(): Map<AccountId, Pair<DataCentreId, Int>> {
        val current = record?.takeIf { canGive } ?: return emptyMap()
        val result = HashMap<AccountId, Pair<DataCentreId, Int>>()
        for ((other, entry) in current.dataCentres) {
            if (other == dataCentre) continue
            for ((account, wants) in entry.wanted) {
                if (!canList(current, dataCentre, account) || !canList(current, other, account)) continue
                val lacks = wants - current.parts(other, account)
                val spare = current.parts(dataCentre, account) - kept(current, account)
                val move = minOf(lacks, spare)
                if (move >= MIN_MOVE && move > (result[account]?.second ?: 0)) result[account] = other to move
            }
        }
        return result
    }

    /** Gives [parts] of [account], which no member holds any more, to the data centre [to] with the next write. */
    public fun give(to: DataCentreId, account: AccountId, parts: Int) {
        check(claimed && attempt == null) { "expected a claimed entry without an open write, in $dataCentre" }
        gifts = gifts + Gift(to, account, parts)
    }

    /** Returns the effects that are due; at most one write a second and one read per period. */
    public fun tick(now: Long): List<AllotmentEffect> {
        if (generation == null || awaitingOutcome) return emptyList()
        val open = attempt
        val writeDue = wroteAt.let { it == null || now - it >= WRITE_PERIOD_NANOS }
        val readDue = readAt.let { it == null || now - it >= parameters.storePeriodNanos }
        val retryDue = readAt.let { it == null || now - it >= WRITE_PERIOD_NANOS }
        return when {
            version == null -> if (retryDue) read(now) else emptyList()
            writeDue && open != null -> write(now, open)
            writeDue && needsWrite() -> compose()?.let { write(now, it) } ?: emptyList()
            readDue -> read(now)
            else -> emptyList()
        }
    }

    /** Handles the object's value; [record] is null and [version] 0 if it does not exist. */
    public fun read(now: Long, record: AllotmentRecord?, version: Long): List<AllotmentEffect> {
        if (generation == null || awaitingOutcome || version < newestVersion) return emptyList()
        newestVersion = version
        this.version = version
        this.record = record
        settle(record, version)
        return tick(now)
    }

    /** Handles the outcome of the last write. */
    public fun written(now: Long, outcome: WriteOutcome): List<AllotmentEffect> {
        awaitingOutcome = false
        version = null
        // A lost race costs a short pause and not a whole period, because parts may be waiting to be given.
        if (outcome == WriteOutcome.Conflict) wroteAt = now - WRITE_PERIOD_NANOS + CONFLICT_PAUSE_NANOS
        // Without an attempt the write belonged to an older generation of this coordinator.
        val open = attempt ?: return if (generation == null) emptyList() else read(now)
        if (outcome is WriteOutcome.Applied) {
            newestVersion = maxOf(newestVersion, open.expectedVersion + 1)
            applied(open)
        }
        return read(now)
    }

    // Decides from the stored entry whether an attempt whose outcome is open took effect.
    private fun settle(record: AllotmentRecord?, version: Long) {
        val entry = record?.dataCentres?.get(dataCentre)
        val open = attempt
        val own = generation ?: return
        when {
            entry != null && entry.generation > own -> {
                claimed = false
                attempt = null
                gifts = emptyList()
                generation = null
            }

            open == null -> Unit

            entry != null && entry.generation == own && entry.writes == writes -> {
                applied(open)
                this.record = record
            }

            // Another write replaced the expected version, so this attempt can never take effect.
            version != open.expectedVersion -> {
                attempt = null
                gifts = emptyList()
            }
        }
    }

    private fun applied(open: Attempt) {
        if (!claimed) fresh = open.fresh
        claimed = true
        record = open.record
        attempt = null
        gifts = emptyList()
    }

    private fun needsWrite(): Boolean =
        !claimed || gifts.isNotEmpty() || record?.dataCentres?.get(dataCentre)?.wanted.orEmpty() != wanted

    private fun compose(): Attempt? {
        val own = generation ?: return null
        val expected = version ?: return null
        val current = record ?: AllotmentRecord(founders)
        val entry = current.dataCentres[dataCentre]
        writes++
        val entries = LinkedHashMap(current.dataCentres)
        val moved = LinkedHashMap(entry?.parts.orEmpty())
        for (gift in gifts) {
            moved[gift.account] = (moved[gift.account] ?: current.defaultParts(dataCentre)) - gift.parts
            val receiver = entries[gift.to] ?: DataCentreAllotment()
            val raised = (receiver.parts[gift.account] ?: current.defaultParts(gift.to)) + gift.parts
            entries[gift.to] = receiver.copy(parts = receiver.parts + (gift.account to raised))
        }
        entries[dataCentre] = DataCentreAllotment(own, writes, moved, wanted)
        return Attempt(current.copy(dataCentres = entries), expected, fresh = entry == null)
    }

    private fun canList(current: AllotmentRecord, of: DataCentreId, account: AccountId): Boolean {
        val listed = current.dataCentres[of]?.parts.orEmpty()
        return account in listed || listed.size < MAX_LISTED
    }

    private fun write(now: Long, open: Attempt): List<AllotmentEffect> {
        attempt = open
        awaitingOutcome = true
        wroteAt = now
        return listOf(AllotmentEffect.WriteAllotments(open.record, open.expectedVersion))
    }

    private fun read(now: Long): List<AllotmentEffect> {
        readAt = now
        return listOf(AllotmentEffect.ReadAllotments)
    }

    // A data centre keeps what its demand uses: up to its default, or more if the others leave it. It never goes below
    // the sum of its floors, so that floors are always covered by the allotment.
    private fun kept(current: AllotmentRecord, account: AccountId): Int {
        val default = current.defaultParts(dataCentre)
        val others = current.dataCentres.filterKeys { it != dataCentre }.values.sumOf { it.wanted[account] ?: 0 }
        val entitled = minOf(wanted[account] ?: 0, maxOf(default, AllotmentRecord.PARTS - others))
        return maxOf(entitled, parameters.floorTotal(default))
    }

    private companion object {
        const val CONFLICT_PAUSE_NANOS = 50_000_000L
        const val WRITE_PERIOD_NANOS = 1_000_000_000L
        const val WANTED_STEP = 20_000
        const val KEPT_STEPS = 5
        const val MIN_MOVE = 10_000

        // Accounts that a data centre lists; further accounts keep their default. Keeps the object of six data
        // centres below the platform's limit of a megabyte.
        const val MAX_LISTED = 1_024
    }
}
