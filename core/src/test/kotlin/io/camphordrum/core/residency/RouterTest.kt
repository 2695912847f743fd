package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RouterTest {
    private val base = BaseModelId("b")
    private val unreachable = HashSet<EndpointId>()
    private val router = Router({ it !in unreachable })
    private var now = 0L

    private fun endpoint(index: Int, base: BaseModelId? = this.base, leaving: Boolean = false) = RoutedEndpoint(
        EndpointId("e$index"),
        base,
        if (base == null) "pool" else null,
        DataCentreId("dc${index % 3}"),
        leaving,
    )

    private fun digest(id: EndpointId, vararg held: AdapterVersion, wait: Int = 0, fencing: Long = 1, number: Int = 1) {
        router.receive(now, ResidencyMessage.Digest(id, fencing, number, true, held.toList(), emptyList(), wait))
    }

    private fun choose(name: String, prefix: Long? = null) = router.choose(now, version(name), base, prefix)

    @Nested
    inner class Candidates {
        // Guards against work for drained data centres, leaving endpoints, other models and unreachable owners.
        @Test fun `only serving endpoints of the base model are candidates`() {
            val other = BaseModelId("other")
            router.endpoints(now, List(9) { endpoint(it, if (it == 8) other else base, leaving = it == 7) })
            router.drained(now, setOf(DataCentreId("dc0")))
            unreachable += EndpointId("e1")
            val expected = setOf("e2", "e4", "e5").mapTo(HashSet(), ::EndpointId)
            assertEquals(expected, choose("x").toSet())
            digest(EndpointId("e3"), version("x"))
            digest(EndpointId("e7"), version("x"))
            assertEquals(expected, choose("x").toSet(), "a holder in a drained data centre is no candidate either")
        }

        // Guards against an endpoint's departure that moves the adapters of all others.
        @Test fun `the loss of an endpoint moves only its own adapters`() {
            router.endpoints(now, List(20) { endpoint(it) })
            val names = List(2_000) { "a$it" }
            val before = names.associateWith { choose(it).first() }
            router.endpoints(now, List(19) { endpoint(it) })
            val moved = names.filter { choose(it).first() != before.getValue(it) }
            assertEquals(names.filter { before.getValue(it) == EndpointId("e19") }, moved)
        }

        // Guards against uneven homes at the planned size.
        @Test fun `78000 adapters have evenly spread homes`() {
            router.endpoints(now, List(100) { endpoint(it) })
            val homes = (0 until 78_000).groupingBy { choose("a$it").first() }.eachCount()
            assertTrue(homes.size == 100 && homes.values.all { it in 624..936 }, "${homes.values.sorted()}")
        }
    }

    @Nested
    inner class Order {
        private val ordered = run {
            router.endpoints(now, List(6) { endpoint(it) })
            choose("x")
        }

        // Guards against a second load of an adapter that is resident away from its home.
        @Test fun `a holder comes before the home`() {
            digest(ordered[3], version("x"))
            assertEquals(ordered[3], choose("x").first())
        }

        // Guards against a second replica for a short burst, and against none when one endpoint is not enough.
        @Test fun `an adapter spills only after its holder was overloaded for a while`() {
            digest(ordered[0], version("x"), wait = 900)
            assertEquals(ordered[0], choose("x").first())
            now += 1_100 * MS
            digest(ordered[0], version("x"), wait = 900, number = 2)
            assertEquals(ordered[1], choose("x").first())
            digest(ordered[0], version("x"), wait = 10, number = 3)
            assertEquals(ordered[0], choose("x").first())
        }

        // Guards against loading at an overloaded home while the next candidate is free.
        @Test fun `an adapter that is resident nowhere passes over overloaded endpoints`() {
            digest(ordered[0], wait = 900)
            assertEquals(ordered[1], choose("x").first())
        }

        // Guards against prefix hints, which may be wrong, that cause loads or queues.
        @Test fun `a prefix hint breaks ties only`() {
            router.cached(now, ordered[2], prefix = 9)
            assertEquals(ordered[2], choose("x", prefix = 9).first())
            digest(ordered[4], version("x"))
            assertEquals(ordered[4], choose("x", prefix = 9).first())
            now += RouterSettings().hintNanos
            digest(ordered[4], number = 2)
            assertEquals(ordered[0], choose("x", prefix = 9).first())
        }

        // Guards against late digests of an owner that has been replaced.
        @Test fun `digests of older owners and repeated digests are ignored`() {
            digest(ordered[3], version("x"), fencing = 5, number = 2)
            digest(ordered[3], fencing = 4, number = 9)
            digest(ordered[3], fencing = 5, number = 2)
            assertEquals(listOf(ordered[3]), router.holders(now, version("x"), base))
            router.endpoints(now, emptyList())
            assertEquals(emptyList(), router.holders(now, version("x"), base))
        }
    }

    @Nested
    inner class Pools {
        // Guards against all requests of a plain service at one replica, and against overloaded replicas.
        @Test fun `requests spread over a pool and avoid long waits`() {
            router.endpoints(now, List(3) { endpoint(it, base = null) })
            val firsts = (0L until 300L).groupingBy { router.choose(now, "pool", it).first() }.eachCount()
            assertTrue(firsts.size == 3 && firsts.values.all { it > 60 }, "$firsts")
            router.answered(now, EndpointId("e0"), waitNanos = 2_000 * MS)
            assertTrue((0L until 300L).none { router.choose(now, "pool", it).first() == EndpointId("e0") })
        }
    }
}
