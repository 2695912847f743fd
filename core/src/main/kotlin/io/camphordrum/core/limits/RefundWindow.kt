package io.camphordrum.core.limits

/**
 * Limits refunds so that a token that the bucket has refilled since the charge is not refunded as well.
 *
 * For every instant s, the level at s plus all later refunds of charges made before s must stay within the capacity.
 * The headroom at s is therefore the maximum that may still be refunded for older charges. Instants are grouped in
 * spans; a span keeps the smallest headroom recorded in it, less the refunds counted against it.
 */
internal class RefundWindow {
    private class Span(val startNanos: Long, var allowance: Long)

    private val spans = ArrayDeque<Span>()
    private var lastChargeNanos = Long.MIN_VALUE

    /** Records that the bucket's level is [headroom] nano-tokens below its capacity now. */
    fun recordHeadroom(headroom: Long) {
        val span = spans.lastOrNull() ?: Span(Long.MIN_VALUE, Long.MAX_VALUE).also(spans::addLast)
        span.allowance = minOf(span.allowance, headroom)
    }

    /**
     * Records a charge after which the bucket has [headroom].
     *
     * The charge starts a new span when the allowance of the current span is less than half of the headroom, so that
     * charges to a full bucket can be refunded. Charges at the same instant stay in one span, because their times do
     * not give their order.
     */
    fun recordCharge(now: Long, headroom: Long) {
        val span = spans.lastOrNull()
        if (now > lastChargeNanos && (span == null || span.allowance < headroom / 2)) {
            spans.addLast(Span(now, headroom))
            if (spans.size > MAX_SPANS) mergeOldest()
        } else {
            recordHeadroom(headroom)
        }
        lastChargeNanos = maxOf(lastChargeNanos, now)
    }

    /** Returns how much of [nanoTokens] may be refunded for a charge made at [chargedAt], and deducts that amount. */
    fun refund(chargedAt: Long, nanoTokens: Long): Long {
        val firstSpan = spans.indexOfLast { it.startNanos <= chargedAt }.coerceAtLeast(0)
        var refunded = nanoTokens
        for (i in firstSpan until spans.size) refunded = minOf(refunded, spans[i].allowance)
        if (refunded <= 0) return 0
        for (i in firstSpan until spans.size) spans[i].allowance -= refunded
        return refunded
    }

    private fun mergeOldest() {
        val first = spans.removeFirst()
        val second = spans.removeFirst()
        spans.addFirst(Span(first.startNanos, minOf(first.allowance, second.allowance)))
    }

    private companion object {
        const val MAX_SPANS = 16
    }
}
