package io.camphordrum.standins

import kotlinx.serialization.json.JsonObject
import java.util.concurrent.atomic.AtomicInteger

/** Holds the faults that an engine simulates; each counter is the number of following requests that it affects. */
internal class EngineFaults {
    val wrongAdapter = AtomicInteger()
    val invalidJson = AtomicInteger()
    private val breakCount = AtomicInteger()

    @Volatile private var breakAfterTokens = Int.MAX_VALUE

    @Volatile var silent = false
        private set

    fun apply(message: JsonObject) {
        message.int("wrongAdapter")?.let { wrongAdapter.set(it) }
        message.int("garbage")?.let { invalidJson.set(it) }
        message.boolean("silent")?.let { silent = it }
        message.int("breakAfterTokens")?.let {
            breakAfterTokens = it
            breakCount.set(message.int("breakCount") ?: 1)
        }
    }

    /** Returns the number of tokens after which the next answer breaks, or null if it does not break. */
    fun nextBreak(): Int? = if (consume(breakCount)) breakAfterTokens else null

    /** Decrements [counter] and returns whether it was positive; it stays at 0 otherwise. */
    fun consume(counter: AtomicInteger): Boolean = counter.getAndUpdate { maxOf(0, it - 1) } > 0
}
