package io.camphordrum.daemon

import io.camphordrum.core.DispatchEnd
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertIsNot

/** Verifies that status codes other than three digits from 100 to 599 are failures of the endpoint. */
class EndpointStatusLineTest : EndingEndpoint() {
    // Guards against recording and passing on an answer that no client can interpret.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "000", "0", "00", "20", "099", "600", "999", "1000", "2000", "0200", "+200", "-200", "-1", "20O", "2OO",
        ],
    )
    fun `an answer with an invalid status code is a failure`(status: String) {
        for (streaming in listOf(false, true)) {
            val answer = head("content-length: 2\r\n").replace("200 OK", "$status Fine") + "{}"
            assertIsNot<DispatchEnd.Completed>(endOf(answer, streaming), "streaming: $streaming")
        }
    }
}
