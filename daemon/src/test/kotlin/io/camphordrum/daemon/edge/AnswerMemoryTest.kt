package io.camphordrum.daemon.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AnswerMemoryTest {
    private val memory = AnswerMemory(maxBytes = 1_200)

    private fun fill(address: String): Long {
        val shares = List(100) { memory.share(address) }
        return shares.sumOf { share -> (1..50L).takeWhile { share.resize(it) == null }.lastOrNull() ?: 0 }
    }

    // Guards against one endpoint that sends without an end and leaves nothing to the answers of others.
    @Test
    fun `one endpoint takes at most half of the memory`() {
        assertEquals(600, fill("a"))
        assertNull(memory.share("b").resize(300))
    }

    @Test
    fun `several endpoints together leave a part to others`() {
        listOf("a", "b", "c").forEach(::fill)
        assertTrue(memory.usedBytes <= 1_100, "${memory.usedBytes}")
        assertNull(memory.share("d").resize(70))
    }

    @Test
    fun `a released share is free for other endpoints`() {
        val share = memory.share("a")
        assertNull(share.resize(600))
        assertNotNull(share.resize(601))
        share.release()
        assertEquals(0, memory.usedBytes)
        assertNull(memory.share("b").resize(600))
    }

    @Test
    fun `an answer that shrinks is never too large`() {
        val shares = listOf("a", "b").map { memory.share(it) }
        assertNull(shares[0].resize(600))
        assertNull(shares[1].resize(300))
        assertNull(shares[0].resize(400))
        assertEquals(700, memory.usedBytes)
    }
}
