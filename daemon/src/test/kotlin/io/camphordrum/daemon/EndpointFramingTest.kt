package io.camphordrum.daemon

import io.camphordrum.core.DispatchEnd
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertIsNot

/** Verifies that answers whose framing shows their end are complete only at that end. */
class EndpointFramingTest : EndingEndpoint() {
    @Test
    fun `an answer with a length or chunks is complete`() {
        assertIs<DispatchEnd.Completed>(endOf("content-length: 2\r\n", "{}"))
        assertIs<DispatchEnd.Completed>(endOf("transfer-encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"))
    }

    @Test
    fun `a stream that the end of its connection ends before DONE is a failure`() {
        assertIs<DispatchEnd.Failed>(endOf("connection: close\r\n", "data: {}\n\n", streaming = true))
    }

    // Guards against a success with an empty or short body for an answer whose head stopped midway.
    @Test
    fun `an answer whose head is cut is a failure`() {
        for (framing in listOf("content-length: 0\r\n", "transfer-encoding: chunked\r\n", "connection: close\r\n")) {
            for (cut in head(framing).indices) {
                for (streaming in listOf(false, true)) {
                    val end = endOf(head(framing).take(cut), streaming)
                    assertIsNot<DispatchEnd.Completed>(end, "$framing cut at $cut, streaming: $streaming")
                }
            }
        }
    }
}
