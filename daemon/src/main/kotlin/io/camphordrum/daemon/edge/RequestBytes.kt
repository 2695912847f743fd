package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.nio.charset.StandardCharsets.ISO_8859_1

private const val HEAD_BYTES = 1_024

/** Returns the bytes of a request to an endpoint, with method, target and body unchanged from the caller's. */
internal fun requestBytes(head: CallerHead, headers: HttpHeaders, body: ByteBuf): ByteBuf {
    val hasBody = body.isReadable ||
        head.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        head.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    val out = Unpooled.buffer(HEAD_BYTES + body.readableBytes())
    out.writeCharSequence("${head.method} ${head.target} HTTP/1.1\r\n", ISO_8859_1)
    for ((name, value) in headers) out.writeCharSequence("$name: $value\r\n", ISO_8859_1)
    if (hasBody) out.writeCharSequence("content-length: ${body.readableBytes()}\r\n", ISO_8859_1)
    out.writeCharSequence("\r\n", ISO_8859_1)
    return out.writeBytes(body, body.readerIndex(), body.readableBytes())
}
