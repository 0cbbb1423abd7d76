/*
 * Network layer of Jetty's client that reports a reset as an error. Jetty's own end point reads it
 * like an orderly end, so that a body without a length would be complete when its server crashes.
 */
package org.pomeloladder.daemon

import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler

/** Opens connections on which a reset fails the response. */
internal class ResetAwareConnector : ClientConnector() {
    override fun newEndPoint(
        channel: SelectableChannel,
        selector: ManagedSelector,
        selectionKey: SelectionKey,
    ): EndPoint = ResetAwareEndPoint(channel as SocketChannel, selector, selectionKey, scheduler)
        .also { it.idleTimeout = idleTimeout.toMillis() }
}

private class ResetAwareEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    selectionKey: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, selectionKey, scheduler) {
    override fun fill(buffer: ByteBuffer): Int {
        if (isInputShutdown) return END_OF_INPUT
        val position = BufferUtil.flipToFill(buffer)
        val bytes = try {
            channel.read(buffer)
        } finally {
            BufferUtil.flipToFlush(buffer, position)
        }
        if (bytes > 0) notIdle()
        if (bytes == END_OF_INPUT) shutdownInput()
        return bytes
    }

    private companion object {
        const val END_OF_INPUT = -1
    }
}
