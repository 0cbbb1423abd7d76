package org.pomeloladder.peer

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeByteArray
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Frames between processes that stop before their end because the sender is gone. */
class CutFrameTest {
    private val payload = "part of an answer".toByteArray()

    private fun frame(): ByteArray = byteArrayOf(0, 0, 0, payload.size.toByte()) + payload

    /** Reads one frame; fails instead of waiting if the read does not return. */
    private fun read(input: ByteReadChannel): Result<ByteArray> {
        val result = CompletableFuture<Result<ByteArray>>()
        thread(isDaemon = true) {
            result.complete(runCatching { runBlocking { input.readFrame() } })
        }
        return result.get(TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** Opens a channel with [bytes] that its sender has ended, in order or not. */
    private fun ended(bytes: ByteArray, isReset: Boolean): ByteReadChannel {
        val channel = ByteChannel()
        runBlocking { channel.writeByteArray(bytes) }
        val cause = if (isReset) IOException("reset") else null
        runBlocking { channel.flush() }
        if (cause == null) runBlocking { channel.flushAndClose() } else channel.cancel(cause)
        return channel
    }

    // Guards against part of a frame that is taken for the whole, and against a reader that never
    // returns, so that the calls of a peer that is gone are not known to be lost.
    @Test
    fun `a frame that stops before its end is an error`() {
        val whole = frame()
        for (isReset in listOf(true, false)) {
            val results = whole.indices.map { read(ended(whole.copyOf(it), isReset)) }
            expectThat(results.map { it.exceptionOrNull() }).all { isA<IOException>() }
        }
    }

    @Test
    fun `a frame that is complete at the end of the connection is read`() {
        val bytes = read(ended(frame(), isReset = false)).getOrThrow()

        expectThat(bytes.decodeToString()).isEqualTo(payload.decodeToString())
    }

    private companion object {
        const val TIMEOUT_S = 10L
    }
}
