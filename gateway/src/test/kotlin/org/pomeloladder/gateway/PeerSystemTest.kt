package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class PeerSystemTest {
    private val gateway = TestGateway()
    private val near = identity("near", NORTH)

    private val peer: Peer
        get() = checkNotNull(gateway.world.peers[near.vm])

    @Test
    fun `a peer that never echoes is not live, since the link may work in one direction only`() {
        gateway.tick(
            GossipReceived(near.gossip, GossipMessage(near, sentMs = 1, isReady = true)),
        )

        expectThat(peer.isLive).isFalse()
    }

    @Test
    fun `a silent peer is removed from the directory within seconds`() {
        gateway.publish(1, catalog(route("lookup")))
        gateway.receiveGossip(near)
        val before = gateway.world.process.entryView?.entries.orEmpty().map { it.vm.value }
        gateway.tick(afterMs = 2_100)
        val after = gateway.world.process.entryView?.entries.orEmpty().map { it.vm.value }

        expectThat(before).containsExactlyInAnyOrder("near", "self")
        expectThat(after).containsExactlyInAnyOrder("self")
    }

    @Test
    fun `a restarted peer is accepted although its clock has stepped back`() {
        gateway.receiveGossip(identity("near", NORTH, incarnation = 100))
        gateway.nowMs += 1_500
        gateway.receiveGossip(identity("near", NORTH, incarnation = 50))

        expectThat(peer.incarnation.value).isEqualTo(50)
        expectThat(peer.isLive).isTrue()
    }

    // Guards against a directory that names the address of a VM that is gone after a VM of another
    // region has got it, and against relays to that address (HOME).
    @Test
    fun `a VM that has got the address of another one replaces it at once`() {
        val old = identity("old", NORTH, incarnation = 1)
        val new = identity("new", SOUTH, incarnation = 2)
            .copy(callers = old.callers, gossip = old.gossip, relay = old.relay)
        gateway.publish(1, catalog(route("lookup")))
        gateway.receiveGossip(old)
        gateway.receiveGossip(new)
        val entries = gateway.world.process.entryView?.entries.orEmpty().map { it.vm.value }

        expectThat(entries).containsExactlyInAnyOrder("new", "self")
    }

    // Guards against a process that overloads a server because it ignores the load of others.
    @Test
    fun `the load that peers put on a server is included in placement`() {
        gateway.publish(1, catalog(route("lookup")), server("a"), server("b"))
        val share = ServerShare(BackendServerId("a"), inFlight = 5)
        gateway.receiveGossip(near) { it.copy(shares = listOf(share)) }
        val first = List(3) { gateway.call(route("lookup")).second.only<StartSend>().server }

        expectThat(first).isEqualTo(listOf("b", "b", "b"))
    }

    @Test
    fun `readiness is announced at once, so that relays work soon after a simultaneous start`() {
        gateway.receiveGossip(near)
        val commands = gateway.publish(1, catalog(route("lookup")))

        expectThat(commands.all<SendGossip>().any { it.message.isReady }).isTrue()
    }

    @Test
    fun `a shutdown is announced at once, so that directories stop listing this process`() {
        gateway.receiveGossip(near)
        val commands = gateway.tick(ShutdownRequested)
        val next = gateway.tick()

        val isAnnounced = (commands + next).all<SendGossip>().any { it.message.isDraining }
        expectThat(isAnnounced).isTrue()
    }

    @Test
    fun `the datagram rate in a large fleet is bounded to limit CPU usage`() {
        val peers = List(25) { identity("near-$it", NORTH) } +
            List(40) { identity("south-$it", SOUTH) }
        var sent = 0
        repeat(100) { step ->
            val from = peers.filterIndexed { index, _ -> index % 10 == step % 10 }
            val heard = from.map {
                GossipReceived(
                    it.gossip,
                    GossipMessage(it, sentMs = gateway.nowMs),
                    GossipEcho(echoMs = gateway.nowMs),
                )
            }
            val commands = gateway.tick(*heard.toTypedArray(), afterMs = 100)
            if (step >= 50) sent += commands.all<SendGossip>().size
        }

        // In 5 s at most 20 per second to this region and 8 per second to the others, and one more
        // to each peer at the ends.
        expectThat(sent).isLessThan(5 * 28 + 65)
        expectThat(gateway.world.process.knownRegionVms).isEqualTo(25)
    }
}
