package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Verifies that huge and negative durations in messages of other daemons stay without lasting effect. */
class PeerDurationTest {
    @Nested
    inner class Conversion {
        // Guards against a wait that overflows into the past or reaches beyond the bound.
        @Test
        fun `durations are limited to the bound`() {
            val bound = MAX_PEER_DURATION_MILLIS * 1_000_000
            assertEquals(0, peerDurationNanos(Long.MIN_VALUE))
            assertEquals(0, peerDurationNanos(-1))
            assertEquals(1_000_000, peerDurationNanos(1))
            assertEquals(bound, peerDurationNanos(Long.MAX_VALUE / 1_000_000 + 1))
            assertEquals(bound, peerDurationNanos(Long.MAX_VALUE))
        }
    }

    @Nested
    inner class Limits {
        private val fixture = ServingFixture()
        private val now get() = fixture.clock.nanos

        // Guards against a limit that is observed in the future and that no answer lifts.
        @Test
        fun `a limit of negative age is lifted by a later answer`() {
            val peer = Member(InstanceId("edge-b1"), 1)
            val report = ReportedLimit("d-1", 1, 2.0, -DAY_MILLIS)
            fixture.core.putEndpoint(now, fixture.plainRecord("d-1"))
            fixture.core.receive(
                now,
                peer,
                ServingNotice(peer, 1, emptyMap(), emptyList(), emptyList(), emptyMap(), emptyList(), listOf(report)),
            )
            assertEquals(1, fixture.core.limitedEndpointCount)
            fixture.run(1_000)
            fixture.core.recordAnnouncedLimit(now, EndpointId("d-1"), now, null)
            assertEquals(0, fixture.core.limitedEndpointCount)
        }
    }

    @Nested
    inner class Crashes {
        private val evidence = CrashEvidence()

        private fun crash(endpoint: String, ageMillis: Long, inFlightMillis: Long) = EndpointCrash(
            endpoint,
            1,
            ageMillis,
            listOf(SuspectRequest("request-$endpoint", null, inFlightMillis, listOf("part"))),
        )

        private fun suspicion() = evidence.suspicions { false }["part"]

        // Guards against a crash in the future, which no sound answer clears.
        @Test
        fun `a sound answer clears a crash of negative age`() {
            evidence.add(0, crash("a", -DAY_MILLIS, 0))
            evidence.addClean(SECOND_NANOS, "part", "sound", SECOND_NANOS)
            assertNull(suspicion())
        }

        // Guards against an overflow that makes simultaneous requests look like independent trials.
        @Test
        fun `a request in flight for too long adds no trial`() {
            evidence.add(0, crash("a", 0, 0))
            evidence.add(SECOND_NANOS, crash("b", 0, Long.MAX_VALUE))
            assertEquals(1, suspicion()?.chain)
        }
    }

    private companion object {
        const val DAY_MILLIS = 86_400_000L
        const val SECOND_NANOS = 1_000_000_000L
    }
}
