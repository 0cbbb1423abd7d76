/*
 * Splits the bytes of an event stream into whole events. A part of an event is never passed on, so that a stream that
 * breaks in the middle of one can go on elsewhere at the event's start.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf

/** One whole event with its separating blank line. [id] is null when the event names none. */
internal class StreamEvent(val id: Long?, val bytes: ByteArray)

/** Collects bytes of one answer. */
internal class EventSplitter {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Bytes of [pending] that are known to hold no end of an event. */
    private var scanned = 0
    private var lineLength = 0

    /** Bytes of an unfinished event. */
    val heldBytes: Int
        get() = size

    /** Whether bytes of an unfinished event are held. */
    val hasPartialEvent: Boolean
        get() = size > 0

    /** Adds [bytes] and calls [take] for each event that became whole. */
    fun add(bytes: ByteBuf, take: (StreamEvent) -> Unit) {
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
                        take(eventOf(start, scanned))
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
        /** Most events are smaller. */
        const val INITIAL_BYTES = 512
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
