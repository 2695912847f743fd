package io.camphordrum.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import java.io.IOException

/** Writes the tokens of one sequence to its HTTP answer, streamed or whole, and breaks it after [breakAfter] tokens. */
internal class AnswerSink(
    private val answer: Answer,
    private val response: HttpResponseWriter,
    private val head: ResponseHeaders,
    private val entry: ServedRequest,
    private val breakAfter: Int?,
) : TokenSink {
    override fun token(index: Int): Boolean {
        if (index == breakAfter) return end("broken")
        if (!response.isOpen) return gone()
        entry.tokens++
        if (!answer.streamed) return true
        if (index == 0) response.tryWrite(head)
        return response.tryWrite(HttpData.ofUtf8("data: ${answer.chunk(index)}\n\n")) || gone()
    }

    override fun completed() {
        entry.outcome = "completed"
        if (answer.streamed) {
            response.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
        } else {
            response.tryWrite(head)
            response.tryWrite(HttpData.ofUtf8("${answer.whole()}"))
        }
        response.close()
    }

    override fun dropped() {
        end("dropped")
    }

    private fun gone(): Boolean {
        entry.outcome = "cancelled"
        return false
    }

    private fun end(outcome: String): Boolean {
        entry.outcome = outcome
        response.close(IOException("engine $outcome the answer"))
        return false
    }
}
