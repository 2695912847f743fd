package io.camphordrum.core.limits

/**
 * Bounds refunds so that a token that the bucket has refilled meanwhile is not given back a second time.
 *
 * For every instant s, the level at s plus all later refunds of charges made before s must stay within the capacity.
 * The headroom at s is therefore the most that may still be refunded to older charges. Instants are grouped in spans;
 * a span keeps the smallest headroom seen in it, less the refunds counted against it.
 */
internal class RefundWindow {
    private class Span(val startNanos: Long, var allowance: Long)

    private val spans = ArrayDeque<Span>()
    private var lastChargeNanos = Long.MIN_VALUE

    /** Records that [headroom] nano-tokens are missing from the bucket's capacity now. */
    fun note(headroom: Long) {
        val span = spans.lastOrNull() ?: Span(Long.MIN_VALUE, Long.MAX_VALUE).also(spans::addLast)
        span.allowance = minOf(span.allowance, headroom)
    }

    /**
     * Records a charge that leaves [headroom].
     *
     * A span starts with the charge when the current span allows much less than the headroom, so that charges taken
     * from a full bucket can be refunded. Charges at the same instant stay in one span, because their times do not
     * tell which came first.
     */
    fun charged(now: Long, headroom: Long) {
        val span = spans.lastOrNull()
        if (now > lastChargeNanos && (span == null || span.allowance < headroom / 2)) {
            spans.addLast(Span(now, headroom))
            if (spans.size > MAX_SPANS) mergeOldest()
        } else {
            note(headroom)
        }
        lastChargeNanos = maxOf(lastChargeNanos, now)
    }

    /** Returns how much of [wanted] may be refunded for a charge made at [grantedAt], and counts it. */
    fun refund(grantedAt: Long, wanted: Long): Long {
        val later = spans.indexOfLast { it.startNanos <= grantedAt }.coerceAtLeast(0)
        var granted = wanted
        for (i in later until spans.size) granted = minOf(granted, spans[i].allowance)
        if (granted <= 0) return 0
        for (i in later until spans.size) spans[i].allowance -= granted
        return granted
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
