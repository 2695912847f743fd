package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.WriteOutcome

/**
 * Transfers parts of limits between data centres through the platform object `allotments`.
 *
 * Only the coordinator of a data centre's current generation writes, after it has claimed the data centre's entry
 * with a conditional write. The claim changes the object's version, so that a delayed write of an older coordinator
 * cannot take effect afterwards. Parts in transfer are unavailable from the start of the write until the write is
 * known to have failed.
 *
 * ```kotlin
 * val allotments = Allotments(dataCentre, dataCentres, parameters)
 * execute(allotments.setGeneration(now, generation.number))
 * allotments.parts(account) // null until the claim is known to have taken effect
 * ```
 *
 * Each write must be reported exactly once with [onWritten] before the next one starts.
 */
public class Allotments(
    private val dataCentre: DataCentreId,
    private val founders: List<DataCentreId>,
    private val parameters: ShareParameters = ShareParameters(),
) {
    private class PendingTransfer(val to: DataCentreId, val account: AccountId, val parts: Int)

    private class PendingWrite(val record: AllotmentRecord, val expectedVersion: Long, val createsEntry: Boolean)

    private var generation: Long? = null
    private var record: AllotmentRecord? = null

    // The version of the record; null if the object must be read first.
    private var version: Long? = null
    private var newestVersion = 0L
    private var pendingWrite: PendingWrite? = null
    private var awaitingOutcome = false
    private var writes = 0L
    private var demandParts: Map<AccountId, Int> = emptyMap()
    private var pendingTransfers: List<PendingTransfer> = emptyList()
    private var lastReadAt: Long? = null
    private var lastWriteAt: Long? = null

    /** True from the time this coordinator's claim takes effect until a newer coordinator's claim is read. */
    public var claimed: Boolean = false
        private set

    /** True if the claim created the data centre's entry; only then can no member have used its parts before. */
    public var entryCreated: Boolean = false
        private set

    /** True if the entry is claimed and no write or transfer is pending, so that parts can be transferred. */
    public val canTransfer: Boolean get() = claimed && pendingWrite == null && pendingTransfers.isEmpty()

    /** Starts to act for the coordinator of [generation]; null stops it. */
    public fun setGeneration(now: Long, generation: Long?): List<AllotmentEffect> {
        this.generation = generation
        claimed = false
        entryCreated = false
        pendingWrite = null
        pendingTransfers = emptyList()
        demandParts = emptyMap()
        writes = 0
        version = null
        return if (generation == null) emptyList() else startRead(now)
    }

    /** Returns the parts of [account] that this data centre may hold now; null unless [claimed]. */
    public fun parts(account: AccountId): Int? {
        val current = record?.takeIf { claimed } ?: return null
        return current.parts(dataCentre, account) - pendingTransfers.filter { it.account == account }.sumOf { it.parts }
    }

    /** Returns the parts that this data centre holds of every account by default; 0 until the object was read. */
    public fun defaultParts(): Int = record?.defaultParts(dataCentre) ?: 0

    /** Sets the parts that this data centre's demand uses; they are rounded to steps before they are written. */
    public fun setDemand(demandParts: Map<AccountId, Int>) {
        val steps = HashMap<AccountId, Int>()
        for ((account, parts) in demandParts) {
            val previous = this.demandParts[account] ?: 0
            // Hysteresis: a value stays until demand exceeds it or drops by several steps, so that steady demand
            // causes no writes. A value rounds up with one step of headroom.
            val isUnchanged = parts <= previous && parts > previous - HYSTERESIS_STEPS * DEMAND_STEP_PARTS
            val step =
                if (isUnchanged) previous else (parts / DEMAND_STEP_PARTS + if (parts > 0) 2 else 0) * DEMAND_STEP_PARTS
            if (step > 0) steps[account] = minOf(step, AllotmentRecord.PARTS)
        }
        this.demandParts = if (steps.size <= MAX_LISTED_ACCOUNTS) {
            steps
        } else {
            steps.entries.sortedByDescending { it.value }.take(MAX_LISTED_ACCOUNTS).associate { it.key to it.value }
        }
    }

    /** Returns the parts to transfer to data centres that lack them; at most one receiver for each account. */
    public fun transferRequests(): Map<AccountId, Pair<DataCentreId, Int>> {
        val current = record?.takeIf { canTransfer } ?: return emptyMap()
        val result = HashMap<AccountId, Pair<DataCentreId, Int>>()
        for ((other, entry) in current.dataCentres) {
            if (other == dataCentre) continue
            for ((account, demand) in entry.demandParts) {
                if (!canList(current, dataCentre, account) || !canList(current, other, account)) continue
                val missing = demand - current.parts(other, account)
                val surplus = current.parts(dataCentre, account) - retainedParts(current, account)
                val moved = minOf(missing, surplus)
                if (moved >= MIN_DATA_CENTRE_TRANSFER_PARTS && moved > (result[account]?.second ?: 0)) {
                    result[account] = other to moved
                }
            }
        }
        return result
    }

    /** Queues a transfer of [parts] of [account], which no member may still hold, to the data centre [to]. */
    public fun queueTransfer(to: DataCentreId, account: AccountId, parts: Int) {
        check(claimed && pendingWrite == null) { "expected a claimed entry without a pending write in $dataCentre" }
        pendingTransfers = pendingTransfers + PendingTransfer(to, account, parts)
    }

    /** Returns the effects that are due: at most one write a second and one read per period. */
    public fun tick(now: Long): List<AllotmentEffect> {
        if (generation == null || awaitingOutcome) return emptyList()
        val pending = pendingWrite
        val writeDue = lastWriteAt.let { it == null || now - it >= WRITE_PERIOD_NANOS }
        val readDue = lastReadAt.let { it == null || now - it >= parameters.storePeriodNanos }
        val retryDue = lastReadAt.let { it == null || now - it >= WRITE_PERIOD_NANOS }
        return when {
            version == null -> if (retryDue) startRead(now) else emptyList()
            writeDue && pending != null -> startWrite(now, pending)
            writeDue && needsWrite() -> composeWrite()?.let { startWrite(now, it) } ?: emptyList()
            readDue -> startRead(now)
            else -> emptyList()
        }
    }

    /** Handles the object's value; [record] is null and [version] 0 if it does not exist. */
    public fun onRead(now: Long, record: AllotmentRecord?, version: Long): List<AllotmentEffect> {
        if (generation == null || awaitingOutcome || version < newestVersion) return emptyList()
        newestVersion = version
        this.version = version
        this.record = record
        resolvePendingWrite(record, version)
        return tick(now)
    }

    /** Handles the outcome of the last write. */
    public fun onWritten(now: Long, outcome: WriteOutcome): List<AllotmentEffect> {
        awaitingOutcome = false
        version = null
        // After a conflict the next write waits only briefly and not a whole period, because transfers may be queued.
        if (outcome == WriteOutcome.Conflict) lastWriteAt = now - WRITE_PERIOD_NANOS + CONFLICT_PAUSE_NANOS
        // Without a pending write, the outcome belongs to a write of an older generation.
        val pending = pendingWrite ?: return if (generation == null) emptyList() else startRead(now)
        if (outcome is WriteOutcome.Applied) {
            newestVersion = maxOf(newestVersion, pending.expectedVersion + 1)
            markApplied(pending)
        }
        return startRead(now)
    }

    // Determines from the stored entry whether the pending write took effect.
    private fun resolvePendingWrite(record: AllotmentRecord?, version: Long) {
        val entry = record?.dataCentres?.get(dataCentre)
        val pending = pendingWrite
        val ownGeneration = generation ?: return
        when {
            entry != null && entry.generation > ownGeneration -> {
                claimed = false
                pendingWrite = null
                pendingTransfers = emptyList()
                generation = null
            }

            pending == null -> Unit

            entry != null && entry.generation == ownGeneration && entry.writes == writes -> {
                markApplied(pending)
                this.record = record
            }

            // Another write replaced the expected version, so the pending write can never take effect.
            version != pending.expectedVersion -> {
                pendingWrite = null
                pendingTransfers = emptyList()
            }
        }
    }

    private fun markApplied(pending: PendingWrite) {
        if (!claimed) entryCreated = pending.createsEntry
        claimed = true
        record = pending.record
        pendingWrite = null
        pendingTransfers = emptyList()
    }

    private fun needsWrite(): Boolean =
        !claimed ||
            pendingTransfers.isNotEmpty() ||
            record?.dataCentres?.get(dataCentre)?.demandParts.orEmpty() != demandParts

    private fun composeWrite(): PendingWrite? {
        val ownGeneration = generation ?: return null
        val expectedVersion = version ?: return null
        val current = record ?: AllotmentRecord(founders)
        val entry = current.dataCentres[dataCentre]
        writes++
        val entries = LinkedHashMap(current.dataCentres)
        val parts = LinkedHashMap(entry?.parts.orEmpty())
        for (transfer in pendingTransfers) {
            parts[transfer.account] = (parts[transfer.account] ?: current.defaultParts(dataCentre)) - transfer.parts
            val receiver = entries[transfer.to] ?: DataCentreAllotment()
            val receiverParts = (receiver.parts[transfer.account] ?: current.defaultParts(transfer.to)) + transfer.parts
            entries[transfer.to] = receiver.copy(parts = receiver.parts + (transfer.account to receiverParts))
        }
        entries[dataCentre] = DataCentreAllotment(ownGeneration, writes, parts, demandParts)
        return PendingWrite(current.copy(dataCentres = entries), expectedVersion, createsEntry = entry == null)
    }

    private fun canList(current: AllotmentRecord, owner: DataCentreId, account: AccountId): Boolean {
        val listed = current.dataCentres[owner]?.parts.orEmpty()
        return account in listed || listed.size < MAX_LISTED_ACCOUNTS
    }

    private fun startWrite(now: Long, pending: PendingWrite): List<AllotmentEffect> {
        pendingWrite = pending
        awaitingOutcome = true
        lastWriteAt = now
        return listOf(AllotmentEffect.WriteAllotments(pending.record, pending.expectedVersion))
    }

    private fun startRead(now: Long): List<AllotmentEffect> {
        lastReadAt = now
        return listOf(AllotmentEffect.ReadAllotments)
    }

    // A data centre retains what its demand uses: up to its default, or more if the demand of the others leaves room.
    // It never transfers below the sum of its floors, so that the allotment always covers the floors.
    private fun retainedParts(current: AllotmentRecord, account: AccountId): Int {
        val default = current.defaultParts(dataCentre)
        val others = current.dataCentres.filterKeys { it != dataCentre }.values.sumOf { it.demandParts[account] ?: 0 }
        val entitled = minOf(demandParts[account] ?: 0, maxOf(default, AllotmentRecord.PARTS - others))
        return maxOf(entitled, parameters.floorTotal(default))
    }

    private companion object {
        const val CONFLICT_PAUSE_NANOS = 50_000_000L
        const val WRITE_PERIOD_NANOS = 1_000_000_000L
        const val DEMAND_STEP_PARTS = 20_000
        const val HYSTERESIS_STEPS = 5
        const val MIN_DATA_CENTRE_TRANSFER_PARTS = 10_000

        // Maximum number of accounts that a data centre lists; further accounts keep their default. Keeps the object
        // below the platform's limit of one megabyte with up to six data centres.
        const val MAX_LISTED_ACCOUNTS = 1_024
    }
}
