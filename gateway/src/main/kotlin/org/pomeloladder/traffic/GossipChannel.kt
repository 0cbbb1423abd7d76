/*
 * Gossip datagrams between entry VMs. A datagram holds the length of the receiver-specific part in
 * two bytes, that part (an echo) and the message that all receivers share. Both parts are CBOR. A
 * datagram about streams has a reserved length and only one part.
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
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.GossipEcho
import org.pomeloladder.gateway.GossipMessage
import org.pomeloladder.gateway.GossipReceived
import org.pomeloladder.gateway.SendGossip
import org.pomeloladder.gateway.SendStreamMessage
import org.pomeloladder.gateway.StreamMessage
import org.pomeloladder.gateway.StreamMessageReceived

/** In place of the length of an echo, which is never as long. */
private const val STREAM_MESSAGE = 0xFFFF

/** The UDP socket for gossip. */
internal class GossipChannel(
    private val loop: EventLoop,
    private val address: Address,
    private val onMessage: (GatewayEvent) -> Unit,
    private val onRejected: (String) -> Unit,
) {
    private lateinit var channel: Channel
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Caches the last encoded message, since one message is sent to many peers in a row. */
    private var lastEncoded: Pair<GossipMessage, ByteArray>? = null

    /** Binds the address and blocks until binding has succeeded or failed. */
    fun open(): ChannelFuture {
        val bound = Bootstrap().group(loop)
            .channel(NioDatagramChannel::class.java)
            .handler(DatagramHandler())
            .bind(InetSocketAddress(address.host, address.port))
            .awaitUninterruptibly()
        channel = bound.channel()
        return bound
    }

    fun send(command: SendGossip) {
        val messageBytes = encode(command.message)
        val echoBytes = cbor.encodeToByteArray(GossipEcho.serializer(), command.echo)
        val bytes = Unpooled.buffer(Short.SIZE_BYTES + echoBytes.size + messageBytes.size)
            .writeShort(echoBytes.size).writeBytes(echoBytes).writeBytes(messageBytes)
        val to = InetSocketAddress(command.to.host, command.to.port)
        channel.writeAndFlush(DatagramPacket(bytes, to))
    }

    fun send(command: SendStreamMessage) {
        val messageBytes = cbor.encodeToByteArray(StreamMessage.serializer(), command.message)
        val bytes = Unpooled.buffer(Short.SIZE_BYTES + messageBytes.size)
            .writeShort(STREAM_MESSAGE).writeBytes(messageBytes)
        val to = InetSocketAddress(command.to.host, command.to.port)
        channel.writeAndFlush(DatagramPacket(bytes, to))
    }

    private fun encode(message: GossipMessage): ByteArray {
        lastEncoded?.let { (last, bytes) -> if (last === message) return bytes }
        val bytes = cbor.encodeToByteArray(GossipMessage.serializer(), message)
        lastEncoded = message to bytes
        return bytes
    }

    private fun decode(sender: InetSocketAddress, bytes: ByteArray): GatewayEvent {
        val from = Address(sender.address.hostAddress, sender.port)
        val start = Short.SIZE_BYTES
        if (bytes.size < start) throw SerializationException("datagram has ${bytes.size} bytes")
        val length = Unpooled.wrappedBuffer(bytes).readUnsignedShort()
        if (length == STREAM_MESSAGE) {
            val rest = bytes.copyOfRange(start, bytes.size)
            val message = cbor.decodeFromByteArray(StreamMessage.serializer(), rest)
            return StreamMessageReceived(from, message)
        }
        val end = start + length
        if (end > bytes.size) throw SerializationException("datagram truncated before byte $end")
        val echo = cbor.decodeFromByteArray(
            GossipEcho.serializer(),
            bytes.copyOfRange(start, end),
        )
        val message = cbor.decodeFromByteArray(
            GossipMessage.serializer(),
            bytes.copyOfRange(end, bytes.size),
        )
        return GossipReceived(from, message, echo)
    }

    private inner class DatagramHandler : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            try {
                onMessage(decode(packet.sender(), bytes))
            } catch (e: SerializationException) {
                onRejected(e.message.orEmpty())
            } catch (e: IllegalArgumentException) {
                onRejected(e.message.orEmpty())
            }
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // An unreachable peer causes a receive error. Membership detects it by its silence.
        }
    }
}
