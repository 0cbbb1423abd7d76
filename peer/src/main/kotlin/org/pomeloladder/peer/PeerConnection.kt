/*
 * An authenticated connection to a peer: a reader, a writer and a bounded send queue.
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

/** Capacity of a connection's send queue, in frames. */
private const val MAX_QUEUED_FRAMES = 1_024

/**
 * Counts the bytes that this process sent and received. Control connections are counted separately,
 * because control traffic has a budget of its own.
 */
class PeerTrafficMeter {
    val controlSentBytes = AtomicLong()
    val controlReceivedBytes = AtomicLong()
    val trafficSentBytes = AtomicLong()
    val trafficReceivedBytes = AtomicLong()
}

internal class PeerConnection(
    val peer: AuthenticatedPeer,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val meter: PeerTrafficMeter,
) : ReplySender {
    private val sendQueue = Channel<ByteArray>(MAX_QUEUED_FRAMES)

    val vm: VmId
        get() = peer.vm

    fun isControlConnectionTo(vm: VmId) = peer.kind == ChannelKind.CONTROL && peer.vm == vm

    /** Starts to write queued frames; stops when the connection closes. */
    fun startWriter(scope: CoroutineScope) = scope.launch {
        try {
            for (bytes in sendQueue) {
                output.writeFrame(bytes)
                sentCounter().addAndGet(bytes.size.toLong())
            }
        } catch (_: IOException) {
            close()
        }
    }

    /** Reads frames until the connection closes and passes each to [onFrame]. */
    suspend fun readFrames(onFrame: (Frame) -> Unit) {
        try {
            while (true) {
                val bytes = input.readFrame()
                receivedCounter().addAndGet(bytes.size.toLong())
                onFrame(FrameCodec.decode(bytes))
            }
        } catch (_: IOException) {
            // The peer closed the connection or the connection broke; both are handled alike.
        } finally {
            close()
        }
    }

    override fun send(frame: TrafficFrame): Boolean {
        var isSent = true
        sendQueue.trySendBlocking(FrameCodec.encode(frame)).onFailure { isSent = false }
        return isSent
    }

    /** Queues [frame]. Returns false if the queue is full or the connection is closed. */
    fun trySend(frame: Frame): Boolean = sendQueue.trySend(FrameCodec.encode(frame)).isSuccess

    fun close() {
        sendQueue.close()
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
