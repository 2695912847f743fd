package io.camphordrum.daemon

import io.camphordrum.core.DispatchEnd
import kotlin.test.Test
import kotlin.test.assertIs

/** Verifies how answers of plain services end that only the end of their connection ends. */
class EndpointUnframedAnswerTest : EndingEndpoint() {
    // Guards against a crash of the endpoint that looks like the end of its answer.
    @Test
    fun `an answer that only the end of its connection ends is a failure`() {
        assertIs<DispatchEnd.Failed>(endOf("connection: close\r\n", "half an ans"))
    }
}
