package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Stores objects with conditional updates; [fault] selects the failure of each call. */
internal class FakeObjectStore {
    enum class Fault { NONE, LOST_AFTER, LOST_BEFORE, LATE, UNAVAILABLE }

    private class Stored(val value: String, val version: Long)

    private val objects = LinkedHashMap<String, Stored>()
    private val delayedWrites = ArrayList<StoreEffect.WriteObject>()
    var fault: (StoreEffect) -> Fault = { Fault.NONE }
    var writes = 0
    var largestBytes = 0

    val names: Set<String> get() = objects.keys

    fun value(name: String): String? = objects[name]?.value

    fun overwrite(name: String, value: String) {
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
        Fault.LATE -> WriteOutcome.Unknown.also { delayedWrites += effect }
        Fault.UNAVAILABLE -> WriteOutcome.Unavailable
    }

    /** Applies one randomly chosen delayed update, if there is any. */
    fun applyDelayedWrite(random: Random) {
        if (delayedWrites.isNotEmpty()) update(delayedWrites.removeAt(random.nextInt(delayedWrites.size)))
    }

    private fun update(effect: StoreEffect.WriteObject): WriteOutcome {
        val version = objects[effect.name]?.version ?: 0
        if (version != effect.ifVersion) return WriteOutcome.Conflict
        writes++
        largestBytes = maxOf(largestBytes, effect.value.toByteArray().size)
        objects[effect.name] = Stored(effect.value, version + 1)
        return WriteOutcome.Applied(version + 1)
    }
}

/** Runs one store against [objects] and records its notifications. */
internal class StoreRun(private val objects: FakeObjectStore, seed: Long = 0, options: StoreOptions = StoreOptions()) {
    val store = ConfigStore(kotlinx.serialization.json.Json, options, seed)
    val outcomes = LinkedHashMap<String, SubmitOutcome>()
    val revisions = ArrayList<Long>()
    val unreadable = ArrayList<StoreEffect.Unreadable>()
    var history: List<ChangeRecord>? = null
    val pendingCalls = ArrayList<StoreEffect>()

    private var highestRevision = 0L

    fun handle(effects: List<StoreEffect>) {
        check(store.tree.revision >= highestRevision) {
            "expected at least $highestRevision, but was ${store.tree.revision}"
        }
        highestRevision = store.tree.revision
        for (effect in effects) {
            when (effect) {
                is StoreEffect.ReadObject, is StoreEffect.WriteObject -> pendingCalls += effect
                is StoreEffect.Installed -> revisions += effect.tree.revision
                is StoreEffect.Submitted -> check(outcomes.put(effect.id, effect.outcome) == null)
                is StoreEffect.History -> history = effect.records
                is StoreEffect.Unreadable -> unreadable += effect
            }
        }
    }

    /** Executes the call at [index] and passes its outcome to the store. */
    fun completeCall(now: Long, index: Int = 0) {
        when (val effect = pendingCalls.removeAt(index)) {
            is StoreEffect.ReadObject -> handle(store.objectRead(now, effect.request, objects.read(effect)))
            is StoreEffect.WriteObject -> handle(store.objectWritten(now, effect.request, objects.write(effect)))
            else -> error("expected a call, but was $effect")
        }
    }

    /** Executes all calls during [ticks] ticks of 100 ms each. */
    fun completeAllCalls(now: Long = 0, ticks: Int = 0) {
        for (tick in 0..ticks) {
            handle(store.tick(now + tick * 100_000_000L))
            while (pendingCalls.isNotEmpty()) completeCall(now + tick * 100_000_000L)
        }
    }

    fun submit(change: Change, now: Long = 0, ticks: Int = 200): SubmitOutcome? {
        handle(store.submit(now, change))
        completeAllCalls(now, ticks)
        return outcomes.remove(change.id)
    }

    fun load(now: Long = 0) {
        handle(store.load(now))
        completeAllCalls(now)
    }
}
