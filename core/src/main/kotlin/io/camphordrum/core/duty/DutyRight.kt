package io.camphordrum.core.duty

import io.camphordrum.core.Clock
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous
import io.camphordrum.core.serving.EndpointRight
import io.camphordrum.core.serving.OrderRights
import io.camphordrum.core.serving.RightStore
import io.camphordrum.core.serving.RightWriteResult
import io.camphordrum.core.serving.ServingContext
import io.camphordrum.core.serving.StoredRight
import io.camphordrum.core.serving.peerDurationNanos

/**
 * Holds the right to all duties of the deployment, which one daemon has at a time.
 *
 * One right covers all subjects: fewer calls to the store than a right for each, and the same daemon needs the counts
 * for all of them. The holder says in its notices that it is the holder. Only when it has not been heard for
 * [HOLDER_TIMEOUT_NANOS] does one other daemon read the right and claim it; [OrderRights] then makes it wait until the
 * former holder cannot act any more.
 */
internal class DutyRight(
    private val context: ServingContext,
    machine: String,
    private val clock: Clock,
    store: RightStore,
    private val startedNanos: Long,
) {
    private val observedStore = ObservedStore(store, clock)
    private val rights = OrderRights(context.options, machine, clock, observedStore)
    private val peers = context.peers
    private var holder: DutyNews? = null
    private var holderHeardNanos = startedNanos
    private var heldToken: Long? = null

    /** Fencing token of the right of this daemon; null if it does not hold the right. */
    val token: Long? get() = rights.token(SUBJECT)

    /** Whether this daemon holds the right, also while the lease of its former holder still runs. */
    val isHeld: Boolean get() = token != null

    /** Returns whether a call for a duty may be sent now. */
    fun usable(now: Long): Boolean = rights.usable(now, SUBJECT)

    /** Returns what this daemon knows about the holder, without counts. */
    fun news(now: Long): DutyNews? {
        if (rights.isCurrent(now, SUBJECT)) return DutyNews(context.options.self, rights.token(SUBJECT) ?: 0)
        val known = holder ?: return null
        return known.copy(ageMillis = (now - holderHeardNanos) / OrderRights.NANOS_PER_MILLI, counts = emptyList())
    }

    /** Name of the daemon that needs the counts of all others; null if none is known. */
    fun holderName(now: Long): String? = news(now)?.holder?.instance?.name

    /** Learns from [news] who holds the duties. */
    fun receive(now: Long, news: DutyNews) {
        val sender = news.holder ?: return
        if (sender == context.options.self) return
        val known = holder
        val heardNanos = now - peerDurationNanos(news.ageMillis)
        // A holder with a lower token that is heard long after the last one holds a right from a restored store.
        if (known != null && known.token > news.token && heardNanos - holderHeardNanos < HOLDER_TIMEOUT_NANOS) return
        if (known?.token == news.token && heardNanos <= holderHeardNanos) return
        holder = news
        holderHeardNanos = heardNanos
    }

    /** Excludes [nanos] in which this process did not run from the time since the holder was heard. */
    fun excludePause(nanos: Long) {
        holderHeardNanos += nanos
    }

    /** Renews the right, or claims it if this daemon is the one to do so. */
    fun tick(now: Long) {
        if (rights.leaving) return
        if (isHeld) {
            rights.markSettled(now)
            val usable = rights.isCurrent(now, SUBJECT)
            if (rights.readOlderThan(now, if (usable) READ_NANOS else RETRY_NANOS)) rights.refresh(now)
        } else if (mayClaim(now)) {
            if (rights.readOlderThan(now, RETRY_NANOS)) rights.refresh(now)
            rights.usedToken = maxOf(rights.usedToken, holder?.token ?: 0, heldToken ?: 0)
            rights.claim(now, SUBJECT, preferred = true) { false }
        }
        logChange(now)
    }

    /** Gives the right up. */
    fun leave() = rights.releaseAll()

    private fun mayClaim(now: Long): Boolean {
        // A restarted process takes its own right back without waiting for the time-out of its predecessor.
        if (holder?.holder?.instance == context.self) return true
        if (now - startedNanos < SETTLE_NANOS) return false
        // While the store does not answer, a holder cannot renew its right and does not say that it is the holder.
        val silentSince = maxOf(holderHeardNanos, observedStore.failedNanos)
        if (now - silentSince < HOLDER_TIMEOUT_NANOS) return false
        val live = peers.liveDaemons(now).filter { it.member.instance != holder?.holder?.instance }
        return Rendezvous.first(SUBJECT.name, live) { it.member.instance.name }?.member?.instance == context.self
    }

    private fun logChange(now: Long) {
        val current = token
        if (current == heldToken) return
        val previous = heldToken
        heldToken = current
        val event = if (current == null) "duty_right_lost" else "duty_right_taken"
        val fields = mapOf(
            "token" to (current ?: previous),
            "formerHolder" to holder?.holder?.toString(),
            "silentMillis" to (now - holderHeardNanos) / OrderRights.NANOS_PER_MILLI,
        )
        context.ports.logEvent(event, fields)
    }

    /** Remembers when the store last failed to list the rights. */
    private class ObservedStore(private val store: RightStore, private val clock: Clock) : RightStore {
        var failedNanos = Long.MIN_VALUE / 2

        override fun list(onEnd: (Map<String, StoredRight>?) -> Unit) = store.list { rights ->
            if (rights == null) failedNanos = clock.nanos()
            onEnd(rights)
        }

        override fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightWriteResult) -> Unit) =
            store.put(endpoint, right, revision, onEnd)
    }

    companion object {
        // Rights are keyed like endpoints; the store keeps this one under a kind of its own.
        private val SUBJECT = EndpointId("duties")

        // Daemons that start at the same time need this long to hear from each other.
        private const val SETTLE_NANOS = 3_000_000_000L

        // Two reads within the validity of a right.
        private const val READ_NANOS = 1_200_000_000L
        private const val RETRY_NANOS = 400_000_000L

        /** Time without word of the holder after which another daemon claims the right: a lost relay is not enough. */
        const val HOLDER_TIMEOUT_NANOS = 2_400_000_000L
    }
}
