package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Member

const val MS = 1_000_000L

fun version(name: String) = AdapterVersion(name, 1)

/** Drives one owner step by step with a manual clock. */
class OwnerFixture(
    val settings: OwnerSettings = OwnerSettings(),
    fenced: Boolean = true,
    supportsAdapters: Boolean = true,
    firstOwner: Boolean = true,
    weight: (AccountId) -> Long = { 1 },
) {
    val clock = ManualClock(1_000_000 * MS)
    var leaseValid = true
    var remainingLoadUnits = Int.MAX_VALUE
    private var lastRequestId = 0L
    val owner = EndpointOwner(
        EndpointId("e"), 7, clock.nanos(), fenced, {
            leaseValid
        }, { remainingLoadUnits-- > 0 }, weight, supportsAdapters, firstOwner, settings,
    )

    val now: Long get() = clock.nanos()

    fun requestTicket(
        adapter: String? = "a",
        account: String = "c",
        tokens: Long = 100,
        deadlineMillis: Long = 60_000,
        priority: Int = 0,
        maxWaitNanos: Long = Long.MAX_VALUE,
        id: Long = ++lastRequestId,
    ): List<OwnerEffect> {
        val version = adapter?.let(::version)
        val deadlineNanos = now + deadlineMillis * MS
        return owner.requestTicket(
            now,
            TicketRequest(DAEMON, id, AccountId(account), version, tokens, deadlineNanos, priority, maxWaitNanos),
        )
    }

    fun report(
        vararg resident: String,
        running: Int = 0,
        waiting: Int = 0,
        slots: Int = 4,
        incarnation: Long = 1,
        busy: Set<String>? = emptySet(),
        sampledNanos: Long = now + settings.reportLagNanos,
    ): List<OwnerEffect> {
        val residentVersions = resident.mapTo(HashSet(), ::version)
        val busyVersions = busy?.mapTo(HashSet(), ::version)
        return owner.receiveReport(
            now,
            LoadReport(incarnation, sampledNanos, residentVersions, running, waiting, slots, busyVersions),
        )
    }

    fun advance(millis: Long): List<OwnerEffect> {
        clock.advance(millis * MS)
        return owner.tick(now)
    }

    fun closeOrders(effects: List<OwnerEffect>, outcome: OrderOutcome = OrderOutcome.DONE): List<OwnerEffect> =
        effects.orders().flatMap { owner.closeOrder(now, it.order, outcome) }

    fun finish(
        grant: OwnerEffect.Grant,
        outcome: TicketOutcome = TicketOutcome.COMPLETED,
        usedTokens: Long = 100,
        firstTokenNanos: Long = MS,
    ): List<OwnerEffect> = owner.finish(now, grant.ticket, TicketReport(outcome, usedTokens, firstTokenNanos))

    /** Completes requests until the concurrency limit reaches its maximum. */
    fun warmUp(adapter: String?) {
        while (owner.concurrencyLimit < settings.maxConcurrency) {
            val running = ArrayDeque(List(owner.concurrencyLimit) { requestTicket(adapter) }.flatten().grants())
            while (running.isNotEmpty()) running += finish(running.removeFirst()).grants()
        }
    }

    companion object {
        val DAEMON = Member(InstanceId("d"), 1)
    }
}

fun List<OwnerEffect>.grants() = filterIsInstance<OwnerEffect.Grant>()

fun List<OwnerEffect>.denials() = filterIsInstance<OwnerEffect.Deny>()

fun List<OwnerEffect>.orders() = filterIsInstance<OwnerEffect.Order>()

fun List<OwnerEffect>.loads() = orders().filter { it.kind == OrderKind.LOAD }.map { it.version.adapter }

fun List<OwnerEffect>.evictions() = orders().filter { it.kind == OrderKind.EVICT }.map { it.version.adapter }
