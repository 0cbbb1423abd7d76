/*
 * Datagrams between entry VMs, in CBOR.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.pomeloladder.traffic

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.pomeloladder.configuration.Address
import org.pomeloladder.gateway.GossipMessage

/** The socket for datagrams. */
internal class GossipChannel(
    private val loop: EventLoop,
    private val address: Address,
    private val received: (Address, GossipMessage) -> Unit,
    private val rejected: (String) -> Unit,
) {
    private lateinit var channel: Channel
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun open() {
        channel = Bootstrap().group(loop)
            .channel(NioDatagramChannel::class.java)
            .handler(Reader())
            .bind(InetSocketAddress(address.host, address.port))
            .sync().channel()
    }

    fun send(to: Address, message: GossipMessage) {
        val bytes = cbor.encodeToByteArray(GossipMessage.serializer(), message)
        val packet =
            DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(to.host, to.port))
        channel.writeAndFlush(packet)
    }

    private inner class Reader : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            val sender = packet.sender()
            try {
                val message = cbor.decodeFromByteArray(GossipMessage.serializer(), bytes)
                received(Address(sender.address.hostAddress, sender.port), message)
            } catch (e: SerializationException) {
                rejected(e.message.orEmpty())
            } catch (e: IllegalArgumentException) {
                rejected(e.message.orEmpty())
            }
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // An unreachable peer shows as a failed receive; membership notices it by the silence.
        }
    }
}
