package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Judges the decisions of all ledgers together; it knows nothing of how they decide. */
class DecisionChecker {
    private val decided = HashSet<AttemptId>()
    private val proceeded = HashMap<ClaimKey, AttemptId>()
    var replays = 0
        private set
    val proceeds: Int get() = proceeded.size

    fun decided(key: ClaimKey, decision: ClaimEffect.Decision) {
        check(decided.add(decision.attempt)) { "${decision.attempt} got a second decision: $decision" }
        if (decision is ClaimEffect.Proceed) {
            val first = proceeded.put(key, decision.attempt)
            check(first == null) { "$key proceeds as ${decision.attempt} after $first" }
        }
        if (decision is ClaimEffect.Replay) {
            replays++
            val expected = proceeded[key]?.name
            check(decision.answer.contentType == expected) { "$key replays ${decision.answer}, but $expected ran" }
        }
    }
}

/** Drives ledgers over a fake store, with wall clocks up to 50 minutes apart that pass an hour every 30 s. */
class ClaimSimulation(seed: Long) {
    private inner class Daemon(val skewMillis: Long) {
        val ledger = ClaimLedger({ skewMillis + now / 1_000_000 * 120 }, SETTINGS)
    }

    private class Event(val at: Long, val daemon: Daemon?, val action: () -> Unit)

    val checker = DecisionChecker()
    val parts: Int get() = objects.keys.maxOfOrNull { it.part } ?: 0
    val hours: Int get() = objects.keys.distinctBy { it.hour }.size
    private val random = Random(seed)
    private val objects = HashMap<ClaimShardId, Pair<ClaimShard, Long>>()
    private val keys = HashMap<AttemptId, ClaimKey>()
    private var events = mutableListOf<Event>()
    private var now = 3_600_000_000_000L * 1_000
    private var out = false
    private var lost = 0.0
    private var attempts = 0
    private val daemons = MutableList(3) { start() }

    fun run(seconds: Int) {
        repeat(seconds * 50) { step ->
            if (step % 100 == 0) disturb()
            now += 20_000_000
            for (event in events.filter { it.at <= now }.shuffled(random)) {
                events.remove(event)
                event.action()
            }
            for (daemon in daemons) {
                if (random.nextInt(20) == 0) claim(daemon)
                perform(daemon, daemon.ledger.tick(now))
            }
        }
    }

    private fun start() = Daemon(random.nextLong(3_000_000))

    private fun disturb() {
        out = random.nextInt(6) == 0
        lost = listOf(0.0, 0.1, 0.6).random(random)
        val slot = random.nextInt(9)
        if (slot >= daemons.size) return
        val old = daemons[slot]
        events.removeAll { it.daemon === old }
        daemons[slot] = start()
    }

    private fun claim(daemon: Daemon) {
        val attempt = AttemptId("attempt-${attempts++}")
        // A key is used for a while and then again some hours later.
        val key = ClaimKey(AccountId("a"), "key-${attempts / 100 * 5 + random.nextInt(12)}")
        keys[attempt] = key
        perform(daemon, daemon.ledger.claim(now, key, fingerprint = 7, attempt))
    }

    private fun perform(daemon: Daemon, effects: List<ClaimEffect>) {
        for (effect in effects) {
            when (effect) {
                is ClaimEffect.Decision -> decided(daemon, effect)
                is ClaimEffect.ReadShard -> read(daemon, effect.id)
                is ClaimEffect.WriteShard -> write(daemon, effect)
            }
        }
    }

    private fun decided(daemon: Daemon, decision: ClaimEffect.Decision) {
        val key = keys.getValue(decision.attempt)
        checker.decided(key, decision)
        if (decision !is ClaimEffect.Proceed) return
        later(random.nextLong(400_000_000), daemon) {
            val answer = RecordedAnswer.of(200, decision.attempt.name, ByteArray(random.nextInt(80)))
            perform(daemon, daemon.ledger.complete(now, key, answer))
        }
    }

    private fun read(daemon: Daemon, id: ClaimShardId) = later(delay(), null) {
        val found = objects[id]
        val fails = out || random.nextDouble() < lost / 4
        later(delay(), daemon) {
            val ledger = daemon.ledger
            val effects = if (fails) {
                ledger.storeReadFailed(now, id)
            } else {
                ledger.storeRead(now, id, found?.first, found?.second ?: 0)
            }
            perform(daemon, effects)
        }
    }

    private fun write(daemon: Daemon, write: ClaimEffect.WriteShard) {
        val answerLost = random.nextDouble() < lost
        val answer = { outcome: WriteOutcome ->
            later(delay(), daemon) { perform(daemon, daemon.ledger.storeWritten(now, write.id, outcome)) }
        }
        if (answerLost) answer(WriteOutcome.Unknown)
        later(delay() + if (answerLost && random.nextBoolean()) random.nextLong(3_000_000_000) else 0, null) {
            val version = objects[write.id]?.second ?: 0
            val outcome = when {
                out -> WriteOutcome.Unavailable
                version != write.expectedVersion -> WriteOutcome.Conflict
                else -> WriteOutcome.Applied(version + 1).also { objects[write.id] = write.value to version + 1 }
            }
            if (!answerLost) answer(outcome)
        }
    }

    private fun delay(): Long = random.nextLong(if (random.nextInt(20) == 0) 2_000_000_000 else 15_000_000)

    private fun later(delay: Long, daemon: Daemon?, action: () -> Unit) {
        events += Event(now + delay, daemon, action)
    }

    private companion object {
        val SETTINGS = ClaimSettings(shards = 2, shardBytes = 2_000, objectBytes = 4_000, answerBytes = 60)
    }
}
