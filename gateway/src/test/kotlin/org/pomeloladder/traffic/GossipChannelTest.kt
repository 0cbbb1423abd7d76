package org.pomeloladder.traffic

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.GossipEcho
import org.pomeloladder.gateway.GossipMessage
import org.pomeloladder.gateway.GossipReceived
import org.pomeloladder.gateway.OriginQuery
import org.pomeloladder.gateway.PeerIdentity
import org.pomeloladder.gateway.SendGossip
import org.pomeloladder.gateway.SendStreamMessage
import org.pomeloladder.gateway.SoftwareVersion
import org.pomeloladder.gateway.StreamMessage
import org.pomeloladder.gateway.StreamMessageReceived
import org.pomeloladder.gateway.StreamOrigin
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class GossipChannelTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val address = Address("127.0.0.1", freePort())
    private val received = LinkedBlockingQueue<GossipReceived>()
    private val others = LinkedBlockingQueue<GatewayEvent>()
    private val rejected = LinkedBlockingQueue<String>()
    private val channel = GossipChannel(
        group.next(),
        address,
        { if (it is GossipReceived) received += it else others += it },
        rejected::add,
    ).apply { open() }

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun message(sentMs: Long) = GossipMessage(
        PeerIdentity(
            VmId("vm"),
            Incarnation(1),
            RegionId("north"),
            FailureDomainId("north-a"),
            address,
            address,
            address,
        ),
        sentMs,
    )

    @Test
    fun `a shared message reaches each receiver with that receiver's echo`() {
        val shared = message(7)
        channel.send(SendGossip(address, shared, GossipEcho(echoMs = 1)))
        channel.send(SendGossip(address, shared, GossipEcho(echoMs = 2, isLinkWanted = true)))
        val first = received.poll(10, TimeUnit.SECONDS)
        val second = received.poll(10, TimeUnit.SECONDS)

        expectThat(first?.message).isEqualTo(shared)
        expectThat(first?.echo).isEqualTo(GossipEcho(echoMs = 1))
        expectThat(second?.echo).isEqualTo(GossipEcho(echoMs = 2, isLinkWanted = true))
    }

    @Test
    fun `a message about streams arrives with all its parts`() {
        val origin = StreamOrigin(RequestId("r1"), ServiceId("s"), SoftwareVersion("v1"))
        val query = OriginQuery(RequestId("r2"), ServiceId("s"))
        val message = StreamMessage(
            from = VmId("vm"),
            region = RegionId("north"),
            origins = listOf(origin, origin.copy(version = null)),
            queries = listOf(query),
        )
        channel.send(SendStreamMessage(address, message))

        expectThat(others.poll(10, TimeUnit.SECONDS))
            .isEqualTo(StreamMessageReceived(address, message))
    }

    @Test
    fun `a malformed datagram is reported and the next one is still read`() {
        val to = InetAddress.getByName(address.host)
        DatagramSocket().use { socket ->
            socket.send(DatagramPacket(byteArrayOf(9), 1, to, address.port))
            socket.send(DatagramPacket(byteArrayOf(0, 99, 1), 3, to, address.port))
            socket.send(DatagramPacket(byteArrayOf(-1, -1, 1), 3, to, address.port))
        }
        repeat(3) { expectThat(rejected.poll(10, TimeUnit.SECONDS)).isNotNull() }
        channel.send(SendGossip(address, message(8), GossipEcho()))

        expectThat(received.poll(10, TimeUnit.SECONDS)?.message?.sentMs).isEqualTo(8)
    }
}
