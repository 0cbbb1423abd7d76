/*
 * A streamed response as an input stream for the HTTP server. A read returns as soon as any data is
 * available, so that each token reaches the caller without delay.
 */
package org.pomeloladder.daemon

import java.io.InputStream

/**
 * Encodes [first] and the following items of [exchange]. [onEnd] is called once: with true after
 * the response or a refusal was read to its end, with false if the caller closed the stream early.
 */
internal class ServerSentEventStream(
    private val exchange: CallerExchange,
    private val encoder: ChatEncoder,
    first: ExchangeItem,
    private val timeoutMs: Long,
    private val onEnd: (isComplete: Boolean) -> Unit,
) : InputStream() {
    private var pending: ByteArray = ByteArray(0)
    private var position = 0
    private var nextItem: ExchangeItem? = first
    private var isLastEncoded = false
    private var isEndReported = false

    override fun read(): Int {
        if (!fillPending()) return -1
        return pending[position++].toInt() and UNSIGNED_BYTE_MASK
    }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (length == 0) return 0
        if (!fillPending()) return -1
        val count = minOf(length, pending.size - position)
        pending.copyInto(buffer, offset, position, position + count)
        position += count
        return count
    }

    override fun available(): Int = pending.size - position

    override fun close() = reportEnd(isLastEncoded)

    private fun fillPending(): Boolean {
        while (position == pending.size) {
            if (isLastEncoded) {
                reportEnd(isComplete = true)
                return false
            }
            val item = nextItem ?: exchange.next(timeoutMs)
            nextItem = null
            pending = encode(item).toByteArray()
            position = 0
        }
        return true
    }

    private fun encode(item: ExchangeItem): String = when (item) {
        is ExchangeItem.Part -> encoder.encodeEvent(item.part)
        is ExchangeItem.Refused -> encoder.encodeError(item.refusal).also { isLastEncoded = true }
        ExchangeItem.Done -> encoder.encodeEnd().also { isLastEncoded = true }
    }

    private fun reportEnd(isComplete: Boolean) {
        if (isEndReported) return
        isEndReported = true
        onEnd(isComplete)
    }

    private companion object {
        const val UNSIGNED_BYTE_MASK = 0xff
    }
}
