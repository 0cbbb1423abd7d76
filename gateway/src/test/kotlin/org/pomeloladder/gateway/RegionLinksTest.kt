package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RegionLinksTest {
    private val links = RegionLinks(identity("self", NORTH))

    private fun nameAll(count: Int, nowMs: Long = 0) = repeat(count) {
        val other = identity("south-$it", SOUTH)
        links.name(PeerAddress(other.vm, other.gossip, other.region), nowMs)
    }

    @Test
    fun `links into a region do not grow with it, so that control traffic stays bounded`() {
        nameAll(20)
        links.choose(0) { true }

        expectThat(links.chosen).hasSize(3)
        expectThat(links.size).isEqualTo(20)
    }

    @Test
    fun `a silent VM makes room for another, so that a region is not lost with its first links`() {
        nameAll(20)
        links.choose(0) { false }
        val first = links.chosen
        links.choose(3_100) { false }

        expectThat(links.chosen.intersect(first)).isEmpty()
        expectThat(links.chosen).hasSize(3)
    }

    @Test
    fun `silent VMs are tried on when there are no others, so that a healed region is found`() {
        nameAll(2)
        links.choose(0) { false }
        links.choose(3_100) { false }

        expectThat(links.chosen.map { it.value }).containsExactlyInAnyOrder("south-0", "south-1")
    }

    @Test
    fun `a VM that nobody names is forgotten, so that budgets are not shared with it for good`() {
        nameAll(2)
        links.choose(61_000) { false }

        expectThat(links.size).isEqualTo(0)
    }
}
