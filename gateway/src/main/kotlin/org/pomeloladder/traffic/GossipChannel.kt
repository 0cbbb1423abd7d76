/*
 * Datagrams between entry VMs, in CBOR: the length of the part for the receiver in two bytes, that part, and the part that
 * all receivers share.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.pomeloladder.traffic

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
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
import org.pomeloladder.gateway.GossipEcho
import org.pomeloladder.gateway.GossipMessage
import org.pomeloladder.gateway.GossipReceived
import org.pomeloladder.gateway.SendGossip

/** The socket for datagrams. */
internal class GossipChannel(
    private val loop: EventLoop,
    private val address: Address,
    private val received: (GossipReceived) -> Unit,
    private val rejected: (String) -> Unit,
) {
    private lateinit var channel: Channel
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The message sent last and its bytes; one message goes to many peers in a row. */
    private var encoded: Pair<GossipMessage, ByteArray>? = null

    /** Returns when the port is open or cannot be opened. */
    fun open(): ChannelFuture {
        val bound = Bootstrap().group(loop)
            .channel(NioDatagramChannel::class.java)
            .handler(Reader())
            .bind(InetSocketAddress(address.host, address.port))
            .awaitUninterruptibly()
        channel = bound.channel()
        return bound
    }

    fun send(command: SendGossip) {
        val shared = encode(command.message)
        val own = cbor.encodeToByteArray(GossipEcho.serializer(), command.echo)
        val bytes = Unpooled.buffer(Short.SIZE_BYTES + own.size + shared.size)
            .writeShort(own.size).writeBytes(own).writeBytes(shared)
        val to = InetSocketAddress(command.to.host, command.to.port)
        channel.writeAndFlush(DatagramPacket(bytes, to))
    }

    private fun encode(message: GossipMessage): ByteArray {
        encoded?.let { (last, bytes) -> if (last === message) return bytes }
        val bytes = cbor.encodeToByteArray(GossipMessage.serializer(), message)
        encoded = message to bytes
        return bytes
    }

    private fun decode(sender: InetSocketAddress, bytes: ByteArray): GossipReceived {
        val start = Short.SIZE_BYTES
        if (bytes.size < start) throw SerializationException("datagram of ${bytes.size} bytes")
        val end = start + Unpooled.wrappedBuffer(bytes).readUnsignedShort()
        if (end > bytes.size) throw SerializationException("datagram ends before byte $end")
        val echo = cbor.decodeFromByteArray(
            GossipEcho.serializer(),
            bytes.copyOfRange(start, end),
        )
        val message = cbor.decodeFromByteArray(
            GossipMessage.serializer(),
            bytes.copyOfRange(end, bytes.size),
        )
        val from = Address(sender.address.hostAddress, sender.port)
        return GossipReceived(from, message, echo)
    }

    private inner class Reader : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            try {
                received(decode(packet.sender(), bytes))
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
