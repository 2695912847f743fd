package io.camphordrum.daemon.edge

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

// Headers that concern one connection only (RFC 9110, 7.6.1), and the two that frame a body, which are written anew.
private val ONE_CONNECTION = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate",
    "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
)

/** Names of the headers of one message that must not travel on, in lower case. */
fun hopHeaders(headers: HttpHeaders): Set<String> {
    val named = headers.getAll(HttpHeaderNames.CONNECTION)
    if (named.isEmpty()) return ONE_CONNECTION
    return ONE_CONNECTION + named.flatMap { it.split(',') }.map { it.trim().lowercase() }
}

/** Says why the framing of a request is not accepted, or null. Two ways to read its length would smuggle a request. */
internal fun framingFault(headers: HttpHeaders, http10: Boolean): String? {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    return when {
        codings.isNotEmpty() && lengths.isNotEmpty() -> "expected one framing, but both lengths and chunks came"
        codings.size > 1 -> "expected one transfer coding, but ${codings.size} came"
        codings.size == 1 && !codings[0].trim().equals("chunked", ignoreCase = true) ->
            "expected the transfer coding chunked, but was another"
        codings.isNotEmpty() && http10 -> "expected no chunks in HTTP/1.0"
        lengths.size > 1 -> "expected one length, but ${lengths.size} came"
        lengths.size == 1 && !lengths[0].all { it in '0'..'9' } -> "expected a length in digits"
        headers.getAll(HttpHeaderNames.HOST).size != 1 && !http10 -> "expected one Host header"
        else -> null
    }
}
