package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Checks the decisions of all ledgers together, independently of their implementation. */
class DecisionChecker {
    private val decidedAttempts = HashSet<AttemptId>()
    private val proceededAttempts = HashMap<ClaimKey, AttemptId>()
    var replays = 0
        private set
    val proceeds: Int get() = proceededAttempts.size

    fun onDecision(key: ClaimKey, decision: ClaimEffect.Decision) {
        check(decidedAttempts.add(decision.attempt)) { "${decision.attempt} got a second decision: $decision" }
        if (decision is ClaimEffect.Proceed) {
            val first = proceededAttempts.put(key, decision.attempt)
            check(first == null) { "$key proceeds as ${decision.attempt} after $first" }
        }
        if (decision is ClaimEffect.Replay) {
            replays++
            val expected = proceededAttempts[key]?.name
            check(decision.answer.contentType == expected) { "$key replays ${decision.answer}, but $expected ran" }
        }
    }
}

/** Runs ledgers over a fake store, with wall clocks that differ by up to 50 minutes and pass an hour every 30 s. */
class ClaimSimulation(seed: Long) {
    private inner class Daemon(val skewMillis: Long) {
        val ledger = ClaimLedger({ skewMillis + now / 1_000_000 * 120 }, SETTINGS)
    }

    private class Event(val dueAt: Long, val daemon: Daemon?, val action: () -> Unit)

    val checker = DecisionChecker()
    val parts: Int get() = objects.keys.maxOfOrNull { it.part } ?: 0
    val hours: Int get() = objects.keys.distinctBy { it.hour }.size
    private val random = Random(seed)
    private val objects = HashMap<ClaimShardId, Pair<ClaimShard, Long>>()
    private val keysByAttempt = HashMap<AttemptId, ClaimKey>()
    private var events = mutableListOf<Event>()
    private var now = 3_600_000_000_000L * 1_000
    private var storeDown = false
    private var lostResponseRate = 0.0
    private var attempts = 0
    private val daemons = MutableList(3) { startDaemon() }

    fun run(seconds: Int) {
        repeat(seconds * 50) { step ->
            if (step % 100 == 0) injectFaults()
            now += 20_000_000
            for (event in events.filter { it.dueAt <= now }.shuffled(random)) {
                events.remove(event)
                event.action()
            }
            for (daemon in daemons) {
                if (random.nextInt(20) == 0) claim(daemon)
                execute(daemon, daemon.ledger.tick(now))
            }
        }
    }

    private fun startDaemon() = Daemon(random.nextLong(3_000_000))

    private fun injectFaults() {
        storeDown = random.nextInt(6) == 0
        lostResponseRate = listOf(0.0, 0.1, 0.6).random(random)
        val index = random.nextInt(9)
        if (index >= daemons.size) return
        val old = daemons[index]
        events.removeAll { it.daemon === old }
        daemons[index] = startDaemon()
    }

    private fun claim(daemon: Daemon) {
        val attempt = AttemptId("attempt-${attempts++}")
        // A key is used for some time and again some hours later.
        val key = ClaimKey(AccountId("a"), "key-${attempts / 100 * 5 + random.nextInt(12)}")
        keysByAttempt[attempt] = key
        execute(daemon, daemon.ledger.claim(now, key, fingerprint = 7, attempt))
    }

    private fun execute(daemon: Daemon, effects: List<ClaimEffect>) {
        for (effect in effects) {
            when (effect) {
                is ClaimEffect.Decision -> onDecision(daemon, effect)
                is ClaimEffect.ReadShard -> read(daemon, effect.id)
                is ClaimEffect.WriteShard -> write(daemon, effect)
            }
        }
    }

    private fun onDecision(daemon: Daemon, decision: ClaimEffect.Decision) {
        val key = keysByAttempt.getValue(decision.attempt)
        checker.onDecision(key, decision)
        if (decision !is ClaimEffect.Proceed) return
        schedule(random.nextLong(400_000_000), daemon) {
            val answer = RecordedAnswer.of(200, decision.attempt.name, ByteArray(random.nextInt(80)))
            execute(daemon, daemon.ledger.complete(now, key, answer))
        }
    }

    private fun read(daemon: Daemon, id: ClaimShardId) = schedule(delay(), null) {
        val found = objects[id]
        val fails = storeDown || random.nextDouble() < lostResponseRate / 4
        schedule(delay(), daemon) {
            val ledger = daemon.ledger
            val effects = if (fails) {
                ledger.storeReadFailed(now, id)
            } else {
                ledger.storeRead(now, id, found?.first, found?.second ?: 0)
            }
            execute(daemon, effects)
        }
    }

    private fun write(daemon: Daemon, write: ClaimEffect.WriteShard) {
        val isResponseLost = random.nextDouble() < lostResponseRate
        val respond = { outcome: WriteOutcome ->
            schedule(delay(), daemon) { execute(daemon, daemon.ledger.storeWritten(now, write.id, outcome)) }
        }
        if (isResponseLost) respond(WriteOutcome.Unknown)
        schedule(delay() + if (isResponseLost && random.nextBoolean()) random.nextLong(3_000_000_000) else 0, null) {
            val version = objects[write.id]?.second ?: 0
            val outcome = when {
                storeDown -> WriteOutcome.Unavailable
                version != write.expectedVersion -> WriteOutcome.Conflict
                else -> WriteOutcome.Applied(version + 1).also { objects[write.id] = write.value to version + 1 }
            }
            if (!isResponseLost) respond(outcome)
        }
    }

    private fun delay(): Long = random.nextLong(if (random.nextInt(20) == 0) 2_000_000_000 else 15_000_000)

    private fun schedule(delayNanos: Long, daemon: Daemon?, action: () -> Unit) {
        events += Event(now + delayNanos, daemon, action)
    }

    private companion object {
        val SETTINGS = ClaimSettings(shards = 2, shardBytes = 2_000, objectBytes = 4_000, answerBytes = 60)
    }
}
