package io.camphordrum.standins

import kotlinx.serialization.json.JsonObject
import java.util.concurrent.atomic.AtomicInteger

/** Holds the faults that an engine shows; each counter applies to that many next requests. */
internal class EngineFaults {
    val wrongAdapter = AtomicInteger()
    val garbage = AtomicInteger()
    private val breaks = AtomicInteger()

    @Volatile private var breakAfterTokens = Int.MAX_VALUE

    @Volatile var silent = false
        private set

    fun apply(message: JsonObject) {
        message.int("wrongAdapter")?.let { wrongAdapter.set(it) }
        message.int("garbage")?.let { garbage.set(it) }
        message.flag("silent")?.let { silent = it }
        message.int("breakAfterTokens")?.let {
            breakAfterTokens = it
            breaks.set(message.int("breakCount") ?: 1)
        }
    }

    /** Returns the number of tokens after which the next answer breaks, or null. */
    fun nextBreak(): Int? = if (take(breaks)) breakAfterTokens else null

    fun take(counter: AtomicInteger): Boolean = counter.getAndUpdate { maxOf(0, it - 1) } > 0
}
