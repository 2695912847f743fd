package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor
import java.io.ByteArrayOutputStream

/**
 * Reads the server-sent events of one caller's stream and releases only whole events whose ids increase.
 *
 * The stream consists of one run or of several that continue each other. Lines end with `\n`, `\r\n` or `\r`; a blank
 * line ends an event. Numeric ids must increase; of other ids, one that equals the id before it is a repeat. Comments
 * and blank lines are released with the event that follows them, or at once after the first event of a run.
 *
 * @param lastId id of the last event that the caller already has, or null.
 */
internal class EventStream(lastId: String? = null) {
    /** Id of the last released event that has one, or the id that the caller already has. */
    var lastId: String? = lastId
        private set

    /** Id after which another run can continue the stream; null if the last released event has none. */
    var resumeId: String? = null
        private set

    /** Why the events of the current run cannot be released any further, or null. */
    var fault: String? = null
        private set

    private var lastNumber: String? = lastId?.takeIf(::isNumeric)
    private var incomplete: ByteBuf = Unpooled.EMPTY_BUFFER
    private var runEvents = 0

    // Of the current line.
    private var lineBytes = 0
    private var field = Field.NONE
    private val value = ByteArrayOutputStream()

    // Of the lines of the current event; a comment is no part of an event.
    private var inEvent = false
    private var hasField = false
    private var id: String? = null

    private var afterReturn = false
    private var lastEndIsCrLf = false

    // Whether a blank line ended with a carriage return where the line before it ended with `\r\n`.
    private var awaitsLineFeed = false

    // Index in the current part up to which its bytes are released.
    private var releasable = 0

    /** Bytes of the event that is not complete yet. */
    val heldBytes: Int get() = incomplete.readableBytes()

    /** Prepares for the first part of a run; incomplete events of the run before are discarded. */
    fun startRun() {
        discardIncomplete()
        fault = null
        runEvents = 0
        lineBytes = 0
        field = Field.NONE
        value.reset()
        inEvent = false
        hasField = false
        id = null
        afterReturn = false
        lastEndIsCrLf = false
        awaitsLineFeed = false
    }

    /**
     * Appends [part] and returns the bytes of all events that are whole and in order; the caller releases the result.
     *
     * After an event that is not in order, or is larger than [MAX_EVENT_BYTES], [fault] is set and no more is returned.
     */
    fun append(part: ByteBuf): ByteBuf {
        val start = part.readerIndex()
        releasable = NOTHING
        if (fault == null) scan(part, start, part.writerIndex())
        val released = if (releasable == NOTHING) Unpooled.EMPTY_BUFFER else release(part, releasable - start)
        if (fault != null) discardIncomplete() else keep(part)
        part.release()
        return released
    }

    /**
     * Returns why the stream cannot end with the current run as received so far, or null.
     *
     * @param eventNeeded whether the end of a run without any event proves nothing.
     */
    fun endFault(eventNeeded: Boolean): String? = when {
        lineBytes > 0 || (inEvent && hasField) || awaitsLineFeed -> "the stream ended inside an event"
        eventNeeded && runEvents == 0 -> "the stream ended without an event"
        else -> null
    }

    /** Returns the comments and blank lines after the last event; the caller releases them. */
    fun remainder(): ByteBuf = incomplete.also { incomplete = Unpooled.EMPTY_BUFFER }

    /** Discards the bytes of an incomplete event. */
    fun discardIncomplete() {
        if (incomplete.refCnt() > 0) incomplete.release()
        incomplete = Unpooled.EMPTY_BUFFER
    }

    private fun scan(part: ByteBuf, start: Int, end: Int) {
        var index = start
        while (index < end && fault == null) {
            if (field == Field.OTHER || field == Field.COMMENT) {
                val lineEnd = part.forEachByte(index, end - index, ByteProcessor.FIND_CRLF)
                if (lineEnd < 0) return
                index = lineEnd
            }
            read(part.getByte(index), index)
            index++
        }
    }

    private fun read(byte: Byte, index: Int) {
        if (awaitsLineFeed) {
            awaitsLineFeed = false
            lastEndIsCrLf = byte == LINE_FEED
            endEvent(if (lastEndIsCrLf) index + 1 else index)
            if (lastEndIsCrLf || fault != null) return
        }
        when {
            byte == LINE_FEED && afterReturn -> {
                afterReturn = false
                lastEndIsCrLf = true
                if (!inEvent) endEvent(index + 1)
            }
            byte == LINE_FEED -> endLine(index)
            byte == CARRIAGE_RETURN -> {
                // Releasing half a line end would leave a caller that expects `\r\n` inside an event.
                if (lineBytes == 0 && lastEndIsCrLf) awaitsLineFeed = true else endLine(index)
                afterReturn = !awaitsLineFeed
            }
            else -> readField(byte)
        }
    }

    private fun readField(byte: Byte) {
        afterReturn = false
        field = when (field) {
            Field.NONE -> when (byte) {
                COLON -> Field.COMMENT
                LETTER_I -> Field.I
                else -> Field.OTHER
            }
            Field.I -> if (byte == LETTER_D) Field.ID else Field.OTHER
            Field.ID -> if (byte == COLON) Field.VALUE else Field.OTHER
            Field.VALUE -> {
                // One space after the colon is no part of the value.
                if (byte != SPACE || lineBytes > ID_PREFIX_BYTES) value.write(byte.toInt())
                Field.VALUE
            }
            Field.COMMENT, Field.OTHER -> field
        }
        lineBytes++
    }

    private fun endLine(index: Int) {
        lastEndIsCrLf = false
        if (lineBytes == 0) return endEvent(index + 1)
        if (field != Field.COMMENT) hasField = true
        if (field == Field.VALUE) id = value.toString(Charsets.ISO_8859_1).trim(' ', '\t')
        inEvent = true
        lineBytes = 0
        field = Field.NONE
        value.reset()
    }

    private fun endEvent(end: Int) {
        if (hasField) {
            val eventId = id?.ifEmpty { null }
            fault = eventId?.let(::orderFault)
            if (fault != null) return
            runEvents++
            resumeId = eventId
            if (eventId != null) {
                lastId = eventId
                if (isNumeric(eventId)) lastNumber = eventId
            }
        }
        inEvent = false
        hasField = false
        id = null
        if (runEvents > 0) releasable = end
    }

    private fun orderFault(eventId: String): String? {
        val number = lastNumber
        val inOrder = if (number != null && isNumeric(eventId)) isGreater(eventId, number) else eventId != lastId
        return if (inOrder) null else "the event with id $eventId came after $lastId"
    }

    private fun release(part: ByteBuf, bytes: Int): ByteBuf {
        if (!incomplete.isReadable) return part.readRetainedSlice(bytes)
        return incomplete.writeBytes(part, bytes).also { incomplete = Unpooled.EMPTY_BUFFER }
    }

    private fun keep(part: ByteBuf) {
        if (!part.isReadable) return
        if (incomplete.readableBytes() + part.readableBytes() > MAX_EVENT_BYTES) {
            fault = "an event has more than $MAX_EVENT_BYTES bytes"
            discardIncomplete()
            return
        }
        if (!incomplete.isReadable) incomplete = Unpooled.buffer(part.readableBytes())
        incomplete.writeBytes(part)
    }

    private enum class Field { NONE, I, ID, VALUE, COMMENT, OTHER }

    internal companion object {
        /** Maximum size of an event that is not complete yet, in bytes. */
        const val MAX_EVENT_BYTES = 1 shl 20

        private const val NOTHING = -1
        private const val ID_PREFIX_BYTES = 3
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val COLON = ':'.code.toByte()
        private const val SPACE = ' '.code.toByte()
        private const val LETTER_I = 'i'.code.toByte()
        private const val LETTER_D = 'd'.code.toByte()

        private fun isNumeric(id: String) = id.isNotEmpty() && id.all { it in '0'..'9' }

        // Ids may have more digits than a long.
        private fun isGreater(id: String, than: String): Boolean {
            val digits = id.trimStart('0')
            val lastDigits = than.trimStart('0')
            return if (digits.length == lastDigits.length) digits > lastDigits else digits.length > lastDigits.length
        }
    }
}
