/*
 * One proven connection: a reader, a writer and a bounded queue between callers and the writer.
 */
package org.pomeloladder.peer

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.onFailure
import kotlinx.coroutines.channels.trySendBlocking
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.pomeloladder.configuration.VmId

/** Frames that may wait for one connection's writer. */
private const val OUTBOX_FRAMES = 1_024

/** Bytes that this process sent and received on control connections, for the control budget. */
class PeerTrafficMeter {
    val controlSentBytes = AtomicLong()
    val controlReceivedBytes = AtomicLong()
    val trafficSentBytes = AtomicLong()
    val trafficReceivedBytes = AtomicLong()
}

internal class PeerConnection(
    val peer: ProvenPeer,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val meter: PeerTrafficMeter,
) : ReplyLink {
    private val outbox = Channel<ByteArray>(OUTBOX_FRAMES)

    val vm: VmId
        get() = peer.vm

    fun isControlOf(vm: VmId) = peer.kind == ChannelKind.CONTROL && peer.vm == vm

    /** Writes until the connection closes. */
    fun startWriter(scope: CoroutineScope) = scope.launch {
        try {
            for (bytes in outbox) {
                output.writeFrame(bytes)
                sentCounter().addAndGet(bytes.size.toLong())
            }
        } catch (_: IOException) {
            close()
        }
    }

    /** Reads frames until the connection closes. */
    suspend fun readAll(handle: (Frame) -> Unit) {
        try {
            while (true) {
                val bytes = input.readFrame()
                receivedCounter().addAndGet(bytes.size.toLong())
                handle(FrameCodec.decode(bytes))
            }
        } catch (_: IOException) {
            // The peer closed the connection or it broke; both end it the same way.
        } finally {
            close()
        }
    }

    override fun send(frame: TrafficFrame): Boolean {
        var isSent = true
        outbox.trySendBlocking(FrameCodec.encode(frame)).onFailure { isSent = false }
        return isSent
    }

    /** Queues [frame] unless the queue is full or the connection is closed. */
    fun trySend(frame: Frame): Boolean = outbox.trySend(FrameCodec.encode(frame)).isSuccess

    fun close() {
        outbox.close()
        socket.close()
    }

    private fun sentCounter() = when (peer.kind) {
        ChannelKind.CONTROL -> meter.controlSentBytes
        ChannelKind.TRAFFIC -> meter.trafficSentBytes
    }

    private fun receivedCounter() = when (peer.kind) {
        ChannelKind.CONTROL -> meter.controlReceivedBytes
        ChannelKind.TRAFFIC -> meter.trafficReceivedBytes
    }
}
