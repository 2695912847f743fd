package io.camphordrum.core.serving

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class EngineSpeedTest {
    private val random = Random(3)

    // Guards against constants that fit the engines of only one deployment.
    @ParameterizedTest
    @CsvSource("10", "20", "38", "80")
    fun `the estimate of the reading speed converges within sixty answers`(actual: Double) {
        val speed = EngineSpeed()
        repeat(60) {
            val own = 600 + random.nextInt(1_500)
            // A further quarter of the prompt is shared and cached by some engines; half of the engines are also busy.
            val read = own * if (random.nextBoolean()) 1.25 else 1.0
            speed.recordRead(own, read / actual + 8 + if (random.nextBoolean()) random.nextInt(60) else 0)
        }
        assertTrue(speed.tokensPerMilli in actual * 0.7..actual * 1.1, "${speed.tokensPerMilli}")
    }

    // Guards against a few answers from cached prompts that make an engine look many times as fast.
    @Test
    fun `a few cached prompts do not change the estimate much`() {
        val speed = EngineSpeed()
        repeat(200) { speed.recordRead(1_000, if (it % 20 == 0) 9.0 else 1_000 / 20.0 + 8) }
        assertTrue(speed.tokensPerMilli < 20 * 1.4, "${speed.tokensPerMilli}")
    }

    // Guards against late events: the pace must leave enough time for every event, whatever its size.
    @ParameterizedTest
    @CsvSource("3,6.8,22.1", "6,4.4,38.1", "9,4.4,38.1", "4,8.9,19.1")
    fun `an event is generated within its pause while prompts are read`(events: Int, step: Double, reading: Double) {
        val speed = EngineSpeed()
        repeat(500) {
            speed.recordEvent(events, events * step * (1 + random.nextDouble()))
            speed.recordRead(1_500, 1_500 / reading + 8)
        }
        val pace = speed.pace(events, pauseMillis = 300)
        val millis = (events * step + pace.burstTokens / reading) / (1 - pace.readingPart)
        assertTrue(millis < 300, "$millis ms")
        assertTrue(pace.readingPart > 0.35, "$pace")
    }
}
