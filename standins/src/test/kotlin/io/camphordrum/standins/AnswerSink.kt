package io.camphordrum.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import java.io.IOException

/** Writes the tokens of a sequence to its HTTP answer, streamed or whole; breaks it after [breakAfterTokens] tokens. */
internal class AnswerSink(
    private val answer: Answer,
    private val response: HttpResponseWriter,
    private val responseHead: ResponseHeaders,
    private val servedRequest: ServedRequest,
    private val breakAfterTokens: Int?,
) : TokenSink {
    override fun token(index: Int): Boolean {
        if (index == breakAfterTokens) return abort("broken")
        if (!response.isOpen) return cancelled()
        servedRequest.tokens++
        if (!answer.streamed) return true
        if (index == 0) response.tryWrite(responseHead)
        return response.tryWrite(HttpData.ofUtf8("data: ${answer.chunk(index)}\n\n")) || cancelled()
    }

    override fun completed() {
        servedRequest.outcome = "completed"
        if (answer.streamed) {
            response.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
        } else {
            response.tryWrite(responseHead)
            response.tryWrite(HttpData.ofUtf8("${answer.whole()}"))
        }
        response.close()
    }

    override fun aborted() {
        abort("dropped")
    }

    private fun cancelled(): Boolean {
        servedRequest.outcome = "cancelled"
        return false
    }

    private fun abort(outcome: String): Boolean {
        servedRequest.outcome = outcome
        response.close(IOException("the engine aborted the answer: $outcome"))
        return false
    }
}
