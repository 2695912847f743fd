package io.camphordrum.core.turns

import io.camphordrum.core.serving.EngineSpeed
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A long prompt beside running streams at engines of different speeds. */
class LongPromptPlaceTest {
    // Guards against streams that pause too long because a slow engine reads a long prompt.
    @Test
    fun `a long prompt exceeds the pause of streams at a slow engine only`() {
        val speed = EngineSpeed()
        fun exceeds(tokens: Int, slowness: Double) = speed.exceedsPause(tokens, 4, pauseMillis = 300, slowness)
        assertFalse(exceeds(4_000, slowness = 1.0))
        assertTrue(exceeds(4_000, slowness = 1.6))
        assertFalse(exceeds(1_000, slowness = 1.6))
    }
}
