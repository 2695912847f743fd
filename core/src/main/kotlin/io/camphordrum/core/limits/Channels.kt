package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Member

/**
 * Delivers transfers at most once within a generation, one at a time for each receiver.
 *
 * Amounts are debited by the caller before they are queued. Amounts queued while a transfer is unconfirmed are merged
 * into the next one, so that state is bounded by the number of members and accounts.
 */
internal class Channels(private val repeatNanos: Long) {
    private class Outgoing {
        var sequence = 0L
        var inFlight: ShareMessage.Transfer? = null
        var sentAt = 0L
        val queued = LinkedHashMap<AccountId, ShareAmount>()
        var floorParts: Int? = null
        var isReturn = false
    }

    private var generation = 0L
    private val outgoing = HashMap<Member, Outgoing>()
    private val incoming = HashMap<Member, Long>()

    /** True if every transfer was confirmed. */
    val idle: Boolean get() = outgoing.values.all { it.inFlight == null && it.queued.isEmpty() }

    /** Voids all transfers of older generations. */
    fun reset(generation: Long) {
        this.generation = generation
        outgoing.clear()
        incoming.clear()
    }

    fun send(
        now: Long,
        to: Member,
        amounts: List<ShareAmount>,
        floorParts: Int? = null,
        isReturn: Boolean = false,
    ): List<ShareEffect> {
        val channel = outgoing.getOrPut(to) { Outgoing() }
        for (amount in amounts) {
            channel.queued.merge(amount.account, amount) { a, b ->
                ShareAmount(a.account, a.parts + b.parts, a.levelNanoTokens + b.levelNanoTokens)
            }
        }
        if (floorParts != null) channel.floorParts = floorParts
        if (isReturn) channel.isReturn = true
        return if (channel.inFlight == null) flush(now, to, channel) else emptyList()
    }

    /** Returns the transfer confirmed by the receipt, or null for a repeated receipt, with what to send next. */
    fun confirm(now: Long, from: Member, sequence: Long): Pair<ShareMessage.Transfer?, List<ShareEffect>> {
        val channel = outgoing[from]
        val confirmed = channel?.inFlight
        if (confirmed == null || confirmed.sequence != sequence) return null to emptyList()
        channel.inFlight = null
        return confirmed to flush(now, from, channel)
    }

    /** Returns whether the transfer [sequence] from [from] has not been credited yet, and remembers it. */
    fun accept(from: Member, sequence: Long): Boolean {
        if (sequence <= (incoming[from] ?: 0L)) return false
        incoming[from] = sequence
        return true
    }

    fun repeat(now: Long): List<ShareEffect> = outgoing.mapNotNull { (to, channel) ->
        val transfer = channel.inFlight?.takeIf { now - channel.sentAt >= repeatNanos } ?: return@mapNotNull null
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
