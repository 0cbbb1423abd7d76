/*
 * Counts received bytes before the HTTP decoder, which silently skips blank lines and control
 * characters, so that a server could send them without limit. It also reports an orderly end of the
 * input before the decoder, which ends a response without a length at any end of the connection.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent

/** Accepts or drops bytes before they are decoded. */
internal interface RawByteFilter {
    /** Counts [bytes] received bytes. Returns false if they must be dropped. */
    fun accept(bytes: Int): Boolean

    /** The other side has ended its output in order. Needs [ChannelOption.ALLOW_HALF_CLOSURE]. */
    fun onInputEnded() = Unit
}

/** Passes received bytes on to the next handler if [filter] accepts them. */
internal class RawByteCounter(private val filter: RawByteFilter) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        if (filter.accept(bytes.readableBytes())) ctx.fireChannelRead(bytes) else bytes.release()
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) filter.onInputEnded()
        ctx.fireUserEventTriggered(event)
    }
}
