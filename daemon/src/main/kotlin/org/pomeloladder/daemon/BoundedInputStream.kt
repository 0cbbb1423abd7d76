/*
 * Bounds how many bytes of a response are read, so that a faulty server that sends without end
 * cannot fill the memory of the process.
 */
package org.pomeloladder.daemon

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.atomic.AtomicLong

/** A number of bytes that several streams share. Safe to use from any thread. */
internal class ByteBudget(private val maxBytes: Long) {
    private val usedBytes = AtomicLong()

    /** Takes [bytes] and returns true, or takes nothing if they exceed what is left. */
    fun tryAcquire(bytes: Int): Boolean {
        if (usedBytes.addAndGet(bytes.toLong()) <= maxBytes) return true
        release(bytes)
        return false
    }

    fun release(bytes: Int) {
        usedBytes.addAndGet(-bytes.toLong())
    }
}

/**
 * Reads [source] up to [maxBytes] since the last [restart] and within [budget]. Beyond, a read
 * throws an [IOException]. Closing it returns the bytes to the budget and closes [source].
 */
internal class BoundedInputStream(
    source: InputStream,
    private val maxBytes: Int,
    private val budget: ByteBudget,
) : FilterInputStream(source) {
    private var heldBytes = 0

    /** Begins a new count, because the bytes read so far are no longer held. */
    fun restart() {
        budget.release(heldBytes)
        heldBytes = 0
    }

    override fun read(): Int = super.read().also { if (it >= 0) hold(1) }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int =
        super.read(buffer, offset, length).also { if (it > 0) hold(it) }

    private fun hold(bytes: Int) {
        if (heldBytes + bytes > maxBytes) throw IOException("more than $maxBytes bytes")
        if (!budget.tryAcquire(bytes)) throw IOException("too many bytes of responses are held")
        heldBytes += bytes
    }

    override fun close() {
        restart()
        super.close()
    }
}
