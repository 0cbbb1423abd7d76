/*
 * Splits the bytes of an event stream into whole events. A part of an event is never passed on, so that a stream that
 * breaks in the middle of one can go on elsewhere at the event's start.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/** One whole event with its separating blank line. [id] is null when the event names none. */
internal class StreamEvent(val id: Long?, val bytes: ByteArray)

/** Collects bytes of one answer. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineLength = 0

    /** Whether bytes of an unfinished event are held. */
    val hasPartialEvent: Boolean
        get() = pending.size() > 0

    /** Adds [bytes] and calls [take] for each event that became whole. */
    fun add(bytes: ByteBuf, take: (StreamEvent) -> Unit) {
        while (bytes.isReadable) {
            val byte = bytes.readByte()
            pending.write(byte.toInt())
            when (byte) {
                CARRIAGE_RETURN -> Unit
                LINE_FEED -> {
                    if (lineLength == 0 && pending.size() > 0) finish(take)
                    lineLength = 0
                }
                else -> lineLength++
            }
        }
    }

    private fun finish(take: (StreamEvent) -> Unit) {
        val bytes = pending.toByteArray()
        pending.reset()
        take(StreamEvent(idOf(bytes), bytes))
    }

    private fun idOf(bytes: ByteArray): Long? = bytes.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
