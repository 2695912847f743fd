package io.camphordrum.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.EOFException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Reports an unusable frame; the connection that received it is closed. */
internal class FrameException(message: String) : Exception(message)

/** Encodes messages as frames: a 4-byte big-endian length followed by CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(private val maxBytes: Int) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: PeerMessage): ByteArray {
        val bytes = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        if (bytes.size > maxBytes) throw FrameException("expected at most $maxBytes bytes, but was ${bytes.size}")
        return bytes
    }

    suspend fun write(channel: ByteWriteChannel, bytes: ByteArray) {
        channel.writeInt(bytes.size)
        channel.writeFully(bytes)
    }

    /** Returns the next message, or null when the peer closed the connection between two frames. */
    suspend fun read(channel: ByteReadChannel): PeerMessage? {
        if (channel.exhausted()) return null
        return decode(readBytes(channel))
    }

    private suspend fun readBytes(channel: ByteReadChannel): ByteArray {
        var expected = Int.SIZE_BYTES
        try {
            val length = channel.readInt()
            if (length !in
                1..maxBytes
            ) {
                throw FrameException("expected a frame of 1 to $maxBytes bytes, but was $length")
            }
            expected = length
            return ByteArray(length).also { channel.readFully(it) }
        } catch (e: EOFException) {
            throw FrameException("expected $expected more bytes of a frame, but the connection ended")
        }
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
}
