/*
 * Counts received bytes before the HTTP decoder, which leaves blank lines and control characters out without telling.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Decides about bytes before they are decoded. */
internal interface ByteGate {
    /** Takes note of [bytes] more; false when they are to be dropped. */
    fun arrived(bytes: Int): Boolean
}

/** Tells [gate] of all bytes of its channel. */
internal class RawByteCounter(private val gate: ByteGate) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        if (gate.arrived(bytes.readableBytes())) ctx.fireChannelRead(bytes) else bytes.release()
    }
}
