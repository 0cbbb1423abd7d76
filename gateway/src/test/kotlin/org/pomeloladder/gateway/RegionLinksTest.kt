package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RegionLinksTest {
    private val links = RegionLinks(identity("self", NORTH))

    private fun addAddresses(count: Int, nowMs: Long = 0) = repeat(count) {
        val other = identity("south-$it", SOUTH)
        links.addAddress(PeerAddress(other.vm, other.gossip, other.region), nowMs)
    }

    @Test
    fun `the number of links into a region does not grow with its size`() {
        addAddresses(20)
        links.selectLinks(0) { true }

        expectThat(links.linkedVms).hasSize(3)
        expectThat(links.knownVmCount).isEqualTo(20)
    }

    @Test
    fun `silent VMs are replaced, so that a region stays reachable when its first links fail`() {
        addAddresses(20)
        links.selectLinks(0) { false }
        val first = links.linkedVms
        links.selectLinks(3_100) { false }

        expectThat(links.linkedVms.intersect(first)).isEmpty()
        expectThat(links.linkedVms).hasSize(3)
    }

    @Test
    fun `silent VMs stay selected without alternatives, so that a recovered region is found`() {
        addAddresses(2)
        links.selectLinks(0) { false }
        links.selectLinks(3_100) { false }

        expectThat(links.linkedVms.map { it.value }).containsExactlyInAnyOrder("south-0", "south-1")
    }

    @Test
    fun `a VM that is no longer listed is removed`() {
        addAddresses(2)
        links.selectLinks(61_000) { false }

        expectThat(links.knownVmCount).isEqualTo(0)
    }

    // Guards against shares of a budget that add up to more than the whole while VMs of a region
    // don't hear each other.
    @Test
    fun `a silent VM of the own region counts for shared budgets for an hour`() {
        val near = identity("near", NORTH)
        links.addAddress(PeerAddress(near.vm, near.gossip, near.region), 0)
        addAddresses(2)

        links.selectLinks(3_600_000) { false }
        expectThat(links.regionVms.size).isEqualTo(1)

        links.selectLinks(3_600_001) { false }
        expectThat(links.regionVms.size).isEqualTo(0)
    }
}
