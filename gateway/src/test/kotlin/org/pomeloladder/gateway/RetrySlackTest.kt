package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class RetrySlackTest {
    private val slack = TestGateway().world.bounds.retrySlack

    private fun share(gateway: TestGateway) = retrySlackShare(gateway.world, gateway.nowMs)

    /** Lets [gateway] hear of [peers] and count them. */
    private fun meet(gateway: TestGateway, peers: List<PeerIdentity>) {
        peers.forEach { gateway.receiveGossip(it) }
        gateway.tick(afterMs = 1_000)
    }

    // Guards against restarts within a window that each bring a whole share once more (BUDGET).
    @Test
    fun `a process has no share until sends of an earlier process have left the window`() {
        val gateway = TestGateway(uptimeMs = 0)
        gateway.tick()
        val early = share(gateway)
        gateway.tick(afterMs = 11_048)
        val late = share(gateway)
        gateway.tick(afterMs = 2)

        expectThat(early).isEqualTo(0.0)
        expectThat(late).isEqualTo(0.0)
        expectThat(share(gateway)).isGreaterThan(0.0)
    }

    // Guards against VMs that start while they hear nobody and each take the share of a fleet of one.
    @Test
    fun `a process that has met none of its seeds has no share`() {
        val gateway = TestGateway()
        gateway.world.seeds = listOf(identity("other", SOUTH).gossip)
        val alone = share(gateway)
        meet(gateway, listOf(identity("other", SOUTH)))

        expectThat(alone).isEqualTo(0.0)
        expectThat(share(gateway)).isGreaterThan(0.0)
    }

    @Test
    fun `a fleet of one process has a share`() {
        val gateway = TestGateway()
        gateway.world.seeds = listOf(gateway.world.self.gossip)

        expectThat(share(gateway)).isGreaterThan(0.0)
    }

    // Guards against regions that are cut off from each other and each use the whole slack.
    @Test
    fun `the shares of regions that do not hear each other add up to at most the slack`() {
        val total = listOf(NORTH, SOUTH, EAST).sumOf { region ->
            val vms = List(3) { identity("$region-$it", region) }
            vms.sumOf { vm ->
                val gateway = TestGateway(self = vm)
                meet(gateway, vms - vm)
                share(gateway)
            }
        }

        expectThat(total).isLessThanOrEqualTo(slack)
    }
}
