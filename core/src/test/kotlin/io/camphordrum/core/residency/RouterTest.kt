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

    private fun receiveDigest(
        id: EndpointId,
        vararg resident: AdapterVersion,
        waitMillis: Int = 0,
        fencing: Long = 1,
        sequence: Int = 1,
    ) {
        router.receive(
            now,
            ResidencyMessage.Digest(id, fencing, sequence, true, resident.toList(), emptyList(), waitMillis),
        )
    }

    private fun choose(name: String, prefix: Long? = null) = router.choose(now, version(name), base, prefix)

    @Nested
    inner class Candidates {
        // Guards against requests to drained data centres, leaving endpoints, other base models and unreachable owners.
        @Test fun `only serving endpoints of the base model are candidates`() {
            val other = BaseModelId("other")
            router.replaceEndpoints(now, List(9) { endpoint(it, if (it == 8) other else base, leaving = it == 7) })
            router.replaceDrained(now, setOf(DataCentreId("dc0")))
            unreachable += EndpointId("e1")
            val expected = setOf("e2", "e4", "e5").mapTo(HashSet(), ::EndpointId)
            assertEquals(expected, choose("x").toSet())
            receiveDigest(EndpointId("e3"), version("x"))
            receiveDigest(EndpointId("e7"), version("x"))
            assertEquals(expected, choose("x").toSet(), "an endpoint in a drained data centre is no candidate either")
        }

        // Guards against the removal of an endpoint that changes the placement of adapters at the other endpoints.
        @Test fun `the removal of an endpoint moves only its own adapters`() {
            router.replaceEndpoints(now, List(20) { endpoint(it) })
            val names = List(2_000) { "a$it" }
            val before = names.associateWith { choose(it).first() }
            router.replaceEndpoints(now, List(19) { endpoint(it) })
            val moved = names.filter { choose(it).first() != before.getValue(it) }
            assertEquals(names.filter { before.getValue(it) == EndpointId("e19") }, moved)
        }

        // Guards against an uneven distribution of adapters at the planned size.
        @Test fun `78000 adapters are distributed evenly by hash`() {
            router.replaceEndpoints(now, List(100) { endpoint(it) })
            val adaptersByEndpoint = (0 until 78_000).groupingBy { choose("a$it").first() }.eachCount()
            assertTrue(
                adaptersByEndpoint.size == 100 && adaptersByEndpoint.values.all { it in 624..936 },
                "${adaptersByEndpoint.values.sorted()}",
            )
        }
    }

    @Nested
    inner class Order {
        private val ranked = run {
            router.replaceEndpoints(now, List(6) { endpoint(it) })
            choose("x")
        }

        // Guards against a second load of an adapter that is resident away from its first candidate by hash.
        @Test fun `an endpoint with the adapter ranks before the first candidate by hash`() {
            receiveDigest(ranked[3], version("x"))
            assertEquals(ranked[3], choose("x").first())
        }

        // Guards against a second replica for a short burst, and against none when one endpoint is not enough.
        @Test fun `an adapter spills only after its endpoint was overloaded for some time`() {
            receiveDigest(ranked[0], version("x"), waitMillis = 900)
            assertEquals(ranked[0], choose("x").first())
            now += 1_100 * MS
            receiveDigest(ranked[0], version("x"), waitMillis = 900, sequence = 2)
            assertEquals(ranked[1], choose("x").first())
            receiveDigest(ranked[0], version("x"), waitMillis = 10, sequence = 3)
            assertEquals(ranked[0], choose("x").first())
        }

        // Guards against a load at an overloaded endpoint while the next candidate is free.
        @Test fun `an adapter that is resident nowhere avoids overloaded endpoints`() {
            receiveDigest(ranked[0], waitMillis = 900)
            assertEquals(ranked[1], choose("x").first())
        }

        // Guards against loads and queueing that are caused by prefix hints, which may be wrong.
        @Test fun `a prefix hint breaks ties only`() {
            router.recordCachedPrefix(now, ranked[2], prefix = 9)
            assertEquals(ranked[2], choose("x", prefix = 9).first())
            receiveDigest(ranked[4], version("x"))
            assertEquals(ranked[4], choose("x", prefix = 9).first())
            now += RouterSettings().hintValidNanos
            receiveDigest(ranked[4], sequence = 2)
            assertEquals(ranked[0], choose("x", prefix = 9).first())
        }

        // Guards against late digests of an owner that has been replaced.
        @Test fun `digests of older owners and repeated digests are ignored`() {
            receiveDigest(ranked[3], version("x"), fencing = 5, sequence = 2)
            receiveDigest(ranked[3], fencing = 4, sequence = 9)
            receiveDigest(ranked[3], fencing = 5, sequence = 2)
            assertEquals(listOf(ranked[3]), router.residentEndpoints(now, version("x"), base))
            router.replaceEndpoints(now, emptyList())
            assertEquals(emptyList(), router.residentEndpoints(now, version("x"), base))
        }
    }

    @Nested
    inner class Pools {
        // Guards against sending all requests of a plain service to one replica, and against overloaded replicas.
        @Test fun `requests spread over a pool and avoid long waits`() {
            router.replaceEndpoints(now, List(3) { endpoint(it, base = null) })
            val countByFirst = (0L until 300L).groupingBy { router.choose(now, "pool", it).first() }.eachCount()
            assertTrue(countByFirst.size == 3 && countByFirst.values.all { it > 60 }, "$countByFirst")
            router.recordAnswer(now, EndpointId("e0"), waitNanos = 2_000 * MS)
            assertTrue((0L until 300L).none { router.choose(now, "pool", it).first() == EndpointId("e0") })
        }
    }
}
