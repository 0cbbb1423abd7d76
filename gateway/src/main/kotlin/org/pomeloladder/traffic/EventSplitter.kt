/*
 * Splits the bytes of an event stream into complete events. Partial events are never forwarded, so
 * that a stream that breaks within an event can resume at the start of that event on another
 * server.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf

/** A complete event including its terminating blank line. [id] is null if the event has no id. */
internal class StreamEvent(val id: Long?, val bytes: ByteArray)

/** Buffers the body of one response until events are complete. */
internal class EventSplitter {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Number of leading bytes of [pending] that were already searched for the end of an event. */
    private var scanned = 0
    private var lineLength = 0

    /** Number of buffered bytes of an incomplete event. */
    val heldBytes: Int
        get() = size

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean
        get() = size > 0

    /** Appends [bytes] and calls [onEvent] for each event that they complete. */
    fun add(bytes: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        val added = bytes.readableBytes()
        if (size + added > pending.size) pending = pending.copyOf((size + added) * 2)
        bytes.readBytes(pending, size, added)
        size += added
        var start = 0
        while (scanned < size) {
            when (pending[scanned++]) {
                CARRIAGE_RETURN -> Unit
                LINE_FEED -> {
                    if (lineLength == 0) {
                        onEvent(eventOf(start, scanned))
                        start = scanned
                    }
                    lineLength = 0
                }
                else -> lineLength++
            }
        }
        pending.copyInto(pending, 0, start, size)
        size -= start
        scanned -= start
    }

    private fun eventOf(from: Int, to: Int): StreamEvent {
        val bytes = pending.copyOfRange(from, to)
        return StreamEvent(idOf(bytes), bytes)
    }

    private fun idOf(bytes: ByteArray): Long? = bytes.toString(Charsets.ISO_8859_1).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        /** Larger than most events, which avoids growing the buffer. */
        const val INITIAL_BYTES = 512
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
