/*
 * A streamed answer as an input stream for the HTTP server. Each read returns what is there, so that a token reaches the
 * caller when it arrives.
 */
package org.pomeloladder.daemon

import java.io.InputStream

/**
 * Reads [exchange] from its [first] item on. [onEnd] is called once, with true when the answer was read whole or refused,
 * and with false when the caller closed the stream before.
 */
internal class EventStream(
    private val exchange: CallerExchange,
    private val writer: ChatWriter,
    first: ExchangeItem,
    private val timeoutMs: Long,
    private val onEnd: (isWhole: Boolean) -> Unit,
) : InputStream() {
    private var pending: ByteArray = ByteArray(0)
    private var position = 0
    private var next: ExchangeItem? = first
    private var isAtEnd = false
    private var isEnded = false

    override fun read(): Int {
        if (!fill()) return -1
        return pending[position++].toInt() and BYTE_MASK
    }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (length == 0) return 0
        if (!fill()) return -1
        val count = minOf(length, pending.size - position)
        pending.copyInto(buffer, offset, position, position + count)
        position += count
        return count
    }

    override fun available(): Int = pending.size - position

    override fun close() = end(isAtEnd)

    private fun fill(): Boolean {
        while (position == pending.size) {
            if (isAtEnd) {
                end(isWhole = true)
                return false
            }
            val item = next ?: exchange.next(timeoutMs)
            next = null
            pending = encode(item).toByteArray()
            position = 0
        }
        return true
    }

    private fun encode(item: ExchangeItem): String = when (item) {
        is ExchangeItem.Part -> writer.event(item.part)
        is ExchangeItem.Refused -> writer.error(item.refusal).also { isAtEnd = true }
        ExchangeItem.Done -> writer.end().also { isAtEnd = true }
    }

    private fun end(isWhole: Boolean) {
        if (isEnded) return
        isEnded = true
        onEnd(isWhole)
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
