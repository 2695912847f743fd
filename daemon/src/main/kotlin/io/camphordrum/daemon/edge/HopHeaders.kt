package io.camphordrum.daemon.edge

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

// Hop-by-hop headers (RFC 9110, 7.6.1), `expect`, and `content-length`, which is written anew for each hop.
private val HOP_BY_HOP = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate",
    "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
)

/** Returns the names, in lower case, of the headers of a message that must not be forwarded. */
fun hopByHopHeaders(headers: HttpHeaders): Set<String> {
    val connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION)
    if (connectionOptions.isEmpty()) return HOP_BY_HOP
    return HOP_BY_HOP + connectionOptions.flatMap { it.split(',') }.map { it.trim().lowercase() }
}

/** Returns why a request's framing is refused, or null; an ambiguous length would permit request smuggling. */
internal fun framingErrorOf(headers: HttpHeaders, http10: Boolean): String? {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    return when {
        codings.isNotEmpty() && lengths.isNotEmpty() ->
            "expected one framing, but both Content-Length and Transfer-Encoding are present"
        codings.size > 1 -> "expected one Transfer-Encoding header, but ${codings.size} are present"
        codings.size == 1 && !codings[0].trim().equals("chunked", ignoreCase = true) ->
            "expected the transfer coding chunked, but it is another"
        codings.isNotEmpty() && http10 -> "expected no Transfer-Encoding header in HTTP/1.0"
        lengths.size > 1 -> "expected one Content-Length header, but ${lengths.size} are present"
        lengths.size == 1 && !lengths[0].all { it in '0'..'9' } -> "expected a Content-Length of decimal digits"
        headers.getAll(HttpHeaderNames.HOST).size != 1 && !http10 -> "expected one Host header"
        else -> null
    }
}
