package io.camphordrum.daemon.edge

import io.camphordrum.core.EndpointId
import io.camphordrum.core.load.ReportedLoad
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.ServedService
import io.camphordrum.core.serving.Work
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Holds the head of a caller's request as received; [target] is not percent-decoded. */
data class CallerHead(val method: String, val target: String, val headers: HttpHeaders)

/**
 * Holds the head of an endpoint's answer.
 *
 * @property framed whether a length or chunks show where the answer ends; otherwise its connection ends it.
 */
data class AnswerHead(val status: Int, val reason: String, val headers: HttpHeaders, val framed: Boolean = true) {
    /** Returns whether the body is server-sent events, as is assumed of an answer without a type. */
    internal fun isEventStream(): Boolean {
        val type = headers.get(HttpHeaderNames.CONTENT_TYPE) ?: return true
        return type.substringBefore(';').trim().equals("text/event-stream", ignoreCase = true)
    }
}

/**
 * Describes one request of a caller independently of the platform's header names.
 *
 * @property id identifies the attempt of the caller; an endpoint's answer repeats it.
 * @property key authenticates the caller; null when none was sent.
 * @property waitMillis how long the caller waits for its answer; null when the request does not state it.
 * @property promptTokens number of tokens in the prompt; null when the request does not state it.
 * @property sharedPromptParts ids of the parts of the prompt that other requests may share, in order.
 * @property lastEventId id of the event after which the caller continues a stream; null when it sends none.
 * @property ownPromptPart id and token count of the part of the prompt that belongs to this request or its session.
 */
data class CallerRequest(
    val id: String,
    val host: String,
    val path: String,
    val key: String?,
    val waitMillis: Long?,
    val base: String?,
    val adapter: String?,
    val promptTokens: Int?,
    val outputTokens: Int?,
    val ownPromptPart: Pair<String, Int>? = null,
    val sharedPromptParts: List<String> = emptyList(),
    val lastEventId: String? = null,
)

/** Represents the result of parsing the head of a caller's request. */
sealed interface RequestParseResult {
    /** The head is a valid request. */
    data class Parsed(val request: CallerRequest) : RequestParseResult

    /** The head is refused with status 400; [reason] states what was expected. */
    data class Invalid(val reason: String) : RequestParseResult
}

/**
 * Represents the availability that an endpoint announces for further requests.
 *
 * @property leaving whether the endpoint accepts no more requests until it has restarted.
 * @property pauseMillis how long the endpoint accepts no requests; null when it announces no pause.
 * @property rateLimit the rate of requests that the endpoint accepts from all daemons together.
 * @property load what the endpoint states about its present load.
 */
data class EndpointAvailability(
    val leaving: Boolean,
    val pauseMillis: Long?,
    val rateLimit: AnnouncedRate = AnnouncedRate.None,
    val load: AnnouncedLoad = AnnouncedLoad.None,
)

/** Represents what an answer says about the present load of its endpoint. */
sealed interface AnnouncedLoad {
    /** The answer says nothing. */
    data object None : AnnouncedLoad

    /** The answer states a [load] in which an endpoint can be. */
    data class Stated(val load: ReportedLoad) : AnnouncedLoad

    /** The answer states a load that cannot be read or is impossible, as [text]. */
    data class Unreadable(val text: String) : AnnouncedLoad
}

/** Represents what an answer says about the rate of requests that its endpoint accepts. */
sealed interface AnnouncedRate {
    /** The answer announces no limit. */
    data object None : AnnouncedRate

    /** The endpoint accepts [perSecond] requests a second from all daemons together. */
    data class Limited(val perSecond: Double) : AnnouncedRate

    /** The answer announces a limit that cannot be read, as [text]. */
    data class Unreadable(val text: String) : AnnouncedRate
}

/** Classifies an endpoint's answer by its head, before any of it is forwarded to the caller. */
enum class AnswerClassification {
    /** The answer belongs to this request and may be forwarded unchanged. */
    PROPER,

    /** The answer belongs to another request; the answer to this request is still expected. */
    OTHER_REQUEST,

    /** The endpoint has not run the request and will not run it. */
    NOT_RUN,

    /** The endpoint, or the requested adapter or version, is not at this address; the request has not run. */
    NOT_HERE,

    /** The status states a success, or that the request has not run, but the headers that prove it are missing. */
    UNPROVEN,
}

/**
 * Translates between the headers of callers and endpoints and the types of this package; makes no decisions.
 *
 * Each adapter to a platform implements this interface, so that no other code depends on the platform's header names.
 */
interface EdgeProtocol {
    /** Parses the head of a caller's request. */
    fun parse(head: CallerHead): RequestParseResult

    /**
     * Writes the headers of the request to the endpoint into [out], without hop-by-hop headers.
     *
     * @param remainingMillis time left for the endpoint to answer.
     * @param resumeAfter id of the last event forwarded, when a stream resumes at another endpoint.
     */
    fun writeForwardedHeaders(
        head: CallerHead,
        work: Work,
        send: Placement.Send,
        remainingMillis: Long,
        resumeAfter: String?,
        out: HttpHeaders,
    )

    /** Classifies the head of an answer to [request]. */
    fun classify(answer: AnswerHead, request: CallerRequest): AnswerClassification

    /**
     * Returns the request that asks [endpoint] of [service] whether it is alive, or null if there is none.
     *
     * @param waitMillis time within which the endpoint must answer, in milliseconds.
     */
    fun lifeCheck(endpoint: EndpointId, service: ServedService, waitMillis: Long): CallerHead?

    /** Returns whether [answer] to a life check comes from [endpoint]; null if it answers another request. */
    fun provesLife(answer: AnswerHead, endpoint: EndpointId, service: ServedService): Boolean?

    /** Returns the availability that an answer announces for its endpoint, independently of its request. */
    fun availability(answer: AnswerHead): EndpointAvailability

    /** Returns the headers of an answer to [request] that the daemon itself generates. */
    fun ownHeaders(request: CallerRequest?, retryMillis: Long?): List<Pair<String, String>>

    /** Returns whether the header [name] of an endpoint's answer is forwarded to the caller. */
    fun isForwardedToCaller(name: String): Boolean
}
