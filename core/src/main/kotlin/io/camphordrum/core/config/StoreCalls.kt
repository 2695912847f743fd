package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Assigns request ids to the calls of a [ConfigStore], keeps their callbacks, and runs delayed retries. */
internal class StoreCalls(private val options: StoreOptions, seed: Long) {
    private val random = Random(seed)
    private val reads = HashMap<Long, (Long, ReadOutcome) -> Unit>()
    private val writes = HashMap<Long, (Long, WriteOutcome) -> Unit>()
    private val timers = ArrayList<Pair<Long, (Long) -> Unit>>()
    private val queuedReads = ArrayDeque<Pair<String, (Long, ReadOutcome) -> Unit>>()
    private val queuedWrites = ArrayDeque<Pair<StoreEffect.WriteObject, (Long, WriteOutcome) -> Unit>>()
    private var lastRequestId = 0L
    private var effects = ArrayList<StoreEffect>()

    fun emit(effect: StoreEffect) {
        effects += effect
    }

    fun flushEffects(): List<StoreEffect> = effects.also { effects = ArrayList() }

    fun read(name: String, then: (Long, ReadOutcome) -> Unit) {
        if (reads.size >= options.maxCalls) {
            queuedReads.addLast(name to then)
            return
        }
        reads[++lastRequestId] = then
        emit(StoreEffect.ReadObject(lastRequestId, name))
    }

    fun write(name: String, value: String, ifVersion: Long, then: (Long, WriteOutcome) -> Unit) {
        val write = StoreEffect.WriteObject(++lastRequestId, name, value, ifVersion)
        if (writes.size >= options.maxCalls) {
            queuedWrites.addLast(write to then)
            return
        }
        writes[write.request] = then
        emit(write)
    }

    fun completeRead(now: Long, request: Long, outcome: ReadOutcome) {
        val then = reads.remove(request) ?: return
        queuedReads.removeFirstOrNull()?.let { (name, next) -> read(name, next) }
        then(now, outcome)
    }

    fun completeWrite(now: Long, request: Long, outcome: WriteOutcome) {
        val then = writes.remove(request) ?: return
        queuedWrites.removeFirstOrNull()?.let { (write, next) ->
            writes[write.request] = next
            emit(write)
        }
        then(now, outcome)
    }

    /** Schedules [action] after the back-off delay for [failures] consecutive failures. */
    fun scheduleRetry(now: Long, failures: Int, action: (Long) -> Unit) {
        val delayNanos = options.retryNanos shl minOf(failures - 1, MAX_DOUBLINGS).coerceAtLeast(0)
        timers += now + delayNanos / 2 + random.nextLong(delayNanos / 2 + 1) to action
    }

    fun tick(now: Long) {
        val due = timers.filter { it.first <= now }
        timers.removeAll(due)
        for ((_, action) in due) action(now)
    }

    private companion object {
        const val MAX_DOUBLINGS = 5
    }
}
