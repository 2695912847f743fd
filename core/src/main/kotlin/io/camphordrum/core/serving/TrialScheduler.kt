package io.camphordrum.core.serving

import io.camphordrum.core.Rendezvous

/**
 * Lets requests with a suspected prompt part run one at a time in the whole fleet.
 *
 * A trial is the permission to send one such request. One daemon grants the trials of a part: the first live one by
 * rank. The next trial is granted when the last one has cleared the part, has crashed its endpoint, or has taken longer
 * than [TRIAL_NANOS]. A request waits for its trial, because one sound answer ends the wait of all of them.
 */
internal class TrialScheduler(
    private val context: ServingContext,
    private val heldPart: (work: Work) -> String?,
    private val mayGrant: (now: Long, part: String) -> Boolean,
    private val hasCrashed: (id: String) -> Boolean,
) {
    private class Wait(val work: Work, val untilNanos: Long, val onEnd: (Boolean) -> Unit) {
        var askedNanos = Long.MIN_VALUE / 2
        var answered = true
    }

    private class Trial(val id: String, val untilNanos: Long)

    private class HeldTrial(val part: String, val granter: String, val untilNanos: Long)

    private val waits = LinkedHashMap<String, Wait>()
    private val trials = HashMap<String, Trial>()

    // Trials of this daemon's requests, by request id.
    private val held = HashMap<String, HeldTrial>()
    private var sequence = 0L

    /** Waits until [work] may be sent; [onEnd] receives false if no trial was granted in time. */
    fun awaitTrial(now: Long, work: Work, onEnd: (Boolean) -> Unit): () -> Unit {
        val key = "${work.id}#${sequence++}"
        val wait = Wait(work, minOf(now + MAX_WAIT_NANOS, work.deadlineNanos), onEnd)
        waits[key] = wait
        ask(now, key, wait)
        return { waits.remove(key) }
    }

    /** Handles a trial request of the daemon [from]. */
    fun receiveAsk(now: Long, from: String, ask: ServingMessage.TrialAsk) {
        trials[ask.part]?.let { if (now >= it.untilNanos || hasCrashed(it.id)) trials.remove(ask.part) }
        val granted = ask.part !in trials && mayGrant(now, ask.part)
        if (granted) trials[ask.part] = Trial(requestId(ask.id), now + TRIAL_NANOS)
        val end = ServingMessage.TrialEnd(ask.part, ask.id, granted)
        if (from == context.self.name) receiveEnd(now, from, end) else context.send(from, end)
    }

    /** Handles the end of a request that had a trial. */
    fun receiveDrop(drop: ServingMessage.TrialDrop) {
        if (trials[drop.part]?.id == drop.id) trials.remove(drop.part)
    }

    /** Releases the trial of the request [id], which has ended. */
    fun release(id: String) {
        val trial = held.remove(id) ?: return
        val drop = ServingMessage.TrialDrop(trial.part, id)
        if (trial.granter == context.self.name) receiveDrop(drop) else context.send(trial.granter, drop)
    }

    /** Handles the answer to a trial request of this daemon. */
    fun receiveEnd(now: Long, from: String, end: ServingMessage.TrialEnd) {
        val wait = waits[end.id]
        wait?.answered = true
        if (!end.granted) return
        held[requestId(end.id)] = HeldTrial(end.part, from, now + TRIAL_NANOS)
        if (wait == null) return release(requestId(end.id))
        waits.remove(end.id)
        wait.onEnd(true)
    }

    /** Ends waits whose part is no longer suspected or that have taken too long, and asks again for the others. */
    fun tick(now: Long) {
        trials.values.removeAll { now >= it.untilNanos }
        held.values.removeAll { now >= it.untilNanos }
        for ((key, wait) in waits.entries.toList()) {
            val free = heldPart(wait.work) == null
            if (free || now >= wait.untilNanos) {
                waits.remove(key)
                wait.onEnd(free)
            } else if (now - wait.askedNanos >= ASK_NANOS) {
                ask(now, key, wait)
            }
        }
    }

    // The same request may wait more than once, so that each wait has a number.
    private fun requestId(key: String) = key.substringBeforeLast('#')

    private fun ask(now: Long, key: String, wait: Wait) {
        val part = heldPart(wait.work) ?: return
        val live = context.peers.liveDaemons(now).map { it.member.instance.name }
        // A granter that did not answer the last question may be cut off, so this daemon grants its own trials.
        val granter = Rendezvous.first(part, live) { it }?.takeIf { wait.answered } ?: context.self.name
        wait.askedNanos = now
        wait.answered = granter == context.self.name
        val ask = ServingMessage.TrialAsk(part, key)
        if (granter == context.self.name) {
            receiveAsk(now, granter, ask)
        } else if (!context.send(granter, ask)) {
            wait.answered = true
        }
    }

    private companion object {
        // Covers the waits for an adapter and a turn, and the time until the answer is well under way.
        const val TRIAL_NANOS = 2_500_000_000L
        const val MAX_WAIT_NANOS = 3_000_000_000L
        const val ASK_NANOS = 100_000_000L
    }
}
