package io.camphordrum.wire

import io.netty.buffer.ByteBuf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer

/** Reports an unusable frame; the connection that received it is closed. */
internal class FrameException(message: String) : Exception(message)

/** Encodes messages as frames: a 4-byte big-endian length followed by CBOR. Used by one thread. */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(private val maxBytes: Int) {
    private class EncodedFrame(val content: Any, val bytes: ByteArray)

    private val cbor = Cbor { ignoreUnknownKeys = true }

    // A relay sends each digest, changes only or in full, to all daemons of its data centre.
    private val recentFrames = ArrayDeque<EncodedFrame>(RECENT_FRAMES)

    /** Returns the frame of [message]; a message that was sent to another peer just before is not encoded again. */
    fun frame(message: PeerMessage): ByteArray {
        val content: Any = (message as? PeerMessage.Serving)?.message ?: message
        recentFrames.firstOrNull { it.content === content }?.let { return it.bytes }
        val body = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        if (body.size > maxBytes) throw FrameException("expected at most $maxBytes bytes, but was ${body.size}")
        val bytes = ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(body.size).put(body).array()
        if (recentFrames.size == RECENT_FRAMES) recentFrames.removeFirst()
        recentFrames.addLast(EncodedFrame(content, bytes))
        return bytes
    }

    /** Returns the next message of [input], or null until the whole frame has arrived. */
    fun read(input: ByteBuf): PeerMessage? {
        if (input.readableBytes() < Int.SIZE_BYTES) return null
        val length = input.getInt(input.readerIndex())
        if (length !in 1..maxBytes) {
            throw FrameException("expected a frame of 1 to $maxBytes bytes, but was $length")
        }
        if (input.readableBytes() < Int.SIZE_BYTES + length) return null
        val bytes = ByteArray(length)
        input.skipBytes(Int.SIZE_BYTES).readBytes(bytes)
        return decode(bytes)
    }

    /** Returns the number of bytes that a connection which ended with the rest [input] still had to send. */
    fun missingBytes(input: ByteBuf): Int {
        val available = input.readableBytes()
        if (available < Int.SIZE_BYTES) return if (available == 0) 0 else Int.SIZE_BYTES - available
        return Int.SIZE_BYTES + input.getInt(input.readerIndex()) - available
    }

    fun decode(bytes: ByteArray): PeerMessage = try {
        cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
    } catch (e: Exception) {
        // The decoder throws exceptions of several types, among them NegativeArraySizeException for an odd length.
        throw undecodable(e)
    } catch (e: StackOverflowError) {
        throw undecodable(e)
    }

    private fun undecodable(e: Throwable): FrameException {
        val cause = (e.message ?: e.toString()).lineSequence().first()
        return FrameException("expected a peer message, but the frame cannot be decoded: $cause")
    }

    private companion object {
        const val RECENT_FRAMES = 2
    }
}
