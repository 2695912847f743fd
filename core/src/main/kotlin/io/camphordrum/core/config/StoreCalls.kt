package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Numbers the calls of a [ConfigStore], keeps what follows each answer, and runs what is due later. */
internal class StoreCalls(private val options: StoreOptions, seed: Long) {
    private val random = Random(seed)
    private val reads = HashMap<Long, (Long, ReadOutcome) -> Unit>()
    private val writes = HashMap<Long, (Long, WriteOutcome) -> Unit>()
    private val timers = ArrayList<Pair<Long, (Long) -> Unit>>()
    private val waitingReads = ArrayDeque<Pair<String, (Long, ReadOutcome) -> Unit>>()
    private val waitingWrites = ArrayDeque<Pair<StoreEffect.WriteObject, (Long, WriteOutcome) -> Unit>>()
    private var lastRequest = 0L
    private var out = ArrayList<StoreEffect>()

    fun emit(effect: StoreEffect) {
        out += effect
    }

    fun take(): List<StoreEffect> = out.also { out = ArrayList() }

    fun read(name: String, then: (Long, ReadOutcome) -> Unit) {
        if (reads.size >= options.maxCalls) {
            waitingReads.addLast(name to then)
            return
        }
        reads[++lastRequest] = then
        emit(StoreEffect.ReadObject(lastRequest, name))
    }

    fun write(name: String, value: String, ifVersion: Long, then: (Long, WriteOutcome) -> Unit) {
        val write = StoreEffect.WriteObject(++lastRequest, name, value, ifVersion)
        if (writes.size >= options.maxCalls) {
            waitingWrites.addLast(write to then)
            return
        }
        writes[write.request] = then
        emit(write)
    }

    fun answered(now: Long, request: Long, outcome: ReadOutcome) {
        val then = reads.remove(request) ?: return
        waitingReads.removeFirstOrNull()?.let { (name, next) -> read(name, next) }
        then(now, outcome)
    }

    fun answered(now: Long, request: Long, outcome: WriteOutcome) {
        val then = writes.remove(request) ?: return
        waitingWrites.removeFirstOrNull()?.let { (write, next) ->
            writes[write.request] = next
            emit(write)
        }
        then(now, outcome)
    }

    /** Runs [action] after the pause that follows [failures] failures in a row. */
    fun later(now: Long, failures: Int, action: (Long) -> Unit) {
        val pause = options.retryNanos shl minOf(failures - 1, MAX_DOUBLINGS).coerceAtLeast(0)
        timers += now + pause / 2 + random.nextLong(pause / 2 + 1) to action
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
