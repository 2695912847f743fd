package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertTrue

class PeerTableTest {
    // Guards against shares that are rounded up to one: 95 daemons then send up to 95 requests a second to a cold
    // endpoint against a bound of 24.5, and can order 95 base model loads at once.
    @ParameterizedTest
    @CsvSource("7,24.5", "95,24.5", "95,82", "390,6")
    fun `the shares of connected daemons add up to at most the bound`(daemons: Int, bound: Double) {
        val registered = (1..daemons).map {
            RegisteredDaemon(Member(InstanceId("edge-$it"), 1), DataCentreId("a"), "10.0.0.1:$it")
        }
        val sum = registered.sumOf { daemon ->
            val table = PeerTable(daemon.member, 0)
            table.replaceRegistered(registered)
            for (other in registered) table.recordRelayed(1, other.member.instance.name)
            table.evenShare(2, "i-1", bound)
        }
        assertTrue(sum <= bound + 1e-9 && sum >= bound * 0.8, "$sum of $bound")
    }
}
