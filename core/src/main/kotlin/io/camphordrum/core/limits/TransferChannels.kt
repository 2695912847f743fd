package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Member

/**
 * Delivers transfers at most once within a generation, one at a time for each receiver.
 *
 * The caller debits amounts before they are queued. Amounts that are queued while a transfer is unconfirmed are merged
 * into the next transfer, so that the state is bounded by the number of members and accounts.
 */
internal class TransferChannels(private val retransmitNanos: Long) {
    private class Outgoing {
        var sequence = 0L
        var inFlight: ShareMessage.Transfer? = null
        var sentAt = 0L
        val queued = LinkedHashMap<AccountId, ShareAmount>()
        var floorParts: Int? = null
        var isReturn = false
    }

    private var generation = 0L
    private val outgoingTransfers = HashMap<Member, Outgoing>()
    private val lastReceivedSequences = HashMap<Member, Long>()

    /** True if every transfer has been confirmed. */
    val isIdle: Boolean get() = outgoingTransfers.values.all { it.inFlight == null && it.queued.isEmpty() }

    /** Starts [generation] and discards all transfers of older generations. */
    fun reset(generation: Long) {
        this.generation = generation
        outgoingTransfers.clear()
        lastReceivedSequences.clear()
    }

    fun send(
        now: Long,
        to: Member,
        amounts: List<ShareAmount>,
        floorParts: Int? = null,
        isReturn: Boolean = false,
    ): List<ShareEffect> {
        val channel = outgoingTransfers.getOrPut(to) { Outgoing() }
        for (amount in amounts) {
            channel.queued.merge(amount.account, amount) { queued, added ->
                ShareAmount(
                    queued.account,
                    queued.parts + added.parts,
                    queued.levelNanoTokens + added.levelNanoTokens,
                )
            }
        }
        if (floorParts != null) channel.floorParts = floorParts
        if (isReturn) channel.isReturn = true
        return if (channel.inFlight == null) flush(now, to, channel) else emptyList()
    }

    /** Returns the transfer that the receipt confirms, null for a duplicate receipt, and the effects that follow. */
    fun confirm(now: Long, from: Member, sequence: Long): Pair<ShareMessage.Transfer?, List<ShareEffect>> {
        val channel = outgoingTransfers[from]
        val confirmed = channel?.inFlight
        if (confirmed == null || confirmed.sequence != sequence) return null to emptyList()
        channel.inFlight = null
        return confirmed to flush(now, from, channel)
    }

    /** Returns true if the transfer [sequence] from [from] is not a duplicate, and records it as received. */
    fun accept(from: Member, sequence: Long): Boolean {
        if (sequence <= (lastReceivedSequences[from] ?: 0L)) return false
        lastReceivedSequences[from] = sequence
        return true
    }

    /** Sends again every transfer that has been unconfirmed for too long. */
    fun retransmit(now: Long): List<ShareEffect> = outgoingTransfers.mapNotNull { (to, channel) ->
        val transfer = channel.inFlight?.takeIf { now - channel.sentAt >= retransmitNanos } ?: return@mapNotNull null
        channel.sentAt = now
        ShareEffect.Send(to, transfer)
    }

    private fun flush(now: Long, to: Member, channel: Outgoing): List<ShareEffect> {
        if (channel.queued.isEmpty() && channel.floorParts == null) return emptyList()
        channel.sequence++
        val transfer = ShareMessage.Transfer(
            generation,
            channel.sequence,
            channel.queued.values.toList(),
            channel.floorParts,
            channel.isReturn,
        )
        channel.queued.clear()
        channel.floorParts = null
        channel.isReturn = false
        channel.inFlight = transfer
        channel.sentAt = now
        return listOf(ShareEffect.Send(to, transfer))
    }
}
