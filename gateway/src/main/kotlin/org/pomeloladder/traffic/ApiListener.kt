/*
 * HTTP listener for internal endpoints: readiness, directory, metrics and the views that peers
 * fetch. Handlers read published state and never block.
 */
package org.pomeloladder.traffic

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val MAX_REQUEST_BYTES = 65_536

/** Serves [handler] on [address]. */
internal class ApiListener(private val address: Address, private val handler: HttpHandler) {
    /** Binds the address and blocks until binding has succeeded or failed. */
    fun open(group: EventLoopGroup): ChannelFuture = ServerBootstrap().group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpServerCodec())
                    .addLast(HttpObjectAggregator(MAX_REQUEST_BYTES))
                    .addLast(RequestHandler(handler))
            }
        })
        .bind(InetSocketAddress(address.host, address.port)).awaitUninterruptibly()

    private class RequestHandler(private val handler: HttpHandler) :
        SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
            val method = Method.entries.firstOrNull { it.name == request.method().name() }
            val answer = if (method == null) {
                Response(Status.METHOD_NOT_ALLOWED)
            } else {
                handler(Request(method, request.uri()))
            }
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status.code),
                Unpooled.wrappedBuffer(answer.body.payload),
            )
            answer.headers.forEach { (name, value) ->
                response.headers().add(name, value.orEmpty())
            }
            val length = response.content().readableBytes()
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
            val isPersistent = HttpUtil.isKeepAlive(request)
            val write = ctx.writeAndFlush(response)
            if (!isPersistent) write.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
