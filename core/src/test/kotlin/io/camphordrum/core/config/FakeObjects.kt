package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Keeps objects with conditional updates; [fault] decides what happens to each call. */
internal class FakeObjects {
    enum class Fault { NONE, LOST_AFTER, LOST_BEFORE, LATE, UNAVAILABLE }

    private class Stored(val value: String, val version: Long)

    private val objects = LinkedHashMap<String, Stored>()
    private val late = ArrayList<StoreEffect.WriteObject>()
    var fault: (StoreEffect) -> Fault = { Fault.NONE }
    var writes = 0
    var largest = 0

    val names: Set<String> get() = objects.keys

    fun value(name: String): String? = objects[name]?.value

    fun replace(name: String, value: String) {
        objects[name] = Stored(value, (objects[name]?.version ?: 0) + 1)
    }

    fun read(effect: StoreEffect.ReadObject): ReadOutcome {
        if (fault(effect) != Fault.NONE) return ReadOutcome.Unavailable
        return objects[effect.name]?.let { ReadOutcome.Found(it.value, it.version) } ?: ReadOutcome.Missing
    }

    fun write(effect: StoreEffect.WriteObject): WriteOutcome = when (fault(effect)) {
        Fault.NONE -> update(effect)
        Fault.LOST_AFTER -> WriteOutcome.Unknown.also { update(effect) }
        Fault.LOST_BEFORE -> WriteOutcome.Unknown
        Fault.LATE -> WriteOutcome.Unknown.also { late += effect }
        Fault.UNAVAILABLE -> WriteOutcome.Unavailable
    }

    /** Lets one delayed update arrive, if there is any. */
    fun arrive(random: Random) {
        if (late.isNotEmpty()) update(late.removeAt(random.nextInt(late.size)))
    }

    private fun update(effect: StoreEffect.WriteObject): WriteOutcome {
        val version = objects[effect.name]?.version ?: 0
        if (version != effect.ifVersion) return WriteOutcome.Conflict
        writes++
        largest = maxOf(largest, effect.value.toByteArray().size)
        objects[effect.name] = Stored(effect.value, version + 1)
        return WriteOutcome.Applied(version + 1)
    }
}

/** Runs one store against [objects] and keeps what it reports. */
internal class StoreRun(private val objects: FakeObjects, seed: Long = 0, options: StoreOptions = StoreOptions()) {
    val store = ConfigStore(kotlinx.serialization.json.Json, options, seed)
    val outcomes = LinkedHashMap<String, SubmitOutcome>()
    val revisions = ArrayList<Long>()
    val faults = ArrayList<StoreEffect.Unreadable>()
    var history: List<ChangeRecord>? = null
    val open = ArrayList<StoreEffect>()

    private var highest = 0L

    fun take(effects: List<StoreEffect>) {
        check(store.tree.revision >= highest) { "expected at least $highest, but was ${store.tree.revision}" }
        highest = store.tree.revision
        for (effect in effects) {
            when (effect) {
                is StoreEffect.ReadObject, is StoreEffect.WriteObject -> open += effect
                is StoreEffect.Installed -> revisions += effect.tree.revision
                is StoreEffect.Submitted -> check(outcomes.put(effect.id, effect.outcome) == null)
                is StoreEffect.History -> history = effect.records
                is StoreEffect.Unreadable -> faults += effect
            }
        }
    }

    /** Executes the open call at [index] and passes on its outcome. */
    fun step(now: Long, index: Int = 0) {
        when (val effect = open.removeAt(index)) {
            is StoreEffect.ReadObject -> take(store.objectRead(now, effect.request, objects.read(effect)))
            is StoreEffect.WriteObject -> take(store.objectWritten(now, effect.request, objects.write(effect)))
            else -> error("expected a call, but was $effect")
        }
    }

    /** Executes all calls, ticking through [ticks] periods of 100 ms. */
    fun settle(now: Long = 0, ticks: Int = 0) {
        for (tick in 0..ticks) {
            take(store.tick(now + tick * 100_000_000L))
            while (open.isNotEmpty()) step(now + tick * 100_000_000L)
        }
    }

    fun submit(change: Change, now: Long = 0, ticks: Int = 200): SubmitOutcome? {
        take(store.submit(now, change))
        settle(now, ticks)
        return outcomes.remove(change.id)
    }

    fun load(now: Long = 0) {
        take(store.load(now))
        settle(now)
    }
}
