package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** What stays in force of the writes that the platform lost, over restores in a row. */
class LostWritesTest {
    private val gateway = TestGateway()
    private val look = route("look")

    private fun publish(era: Long, revision: Long, vararg servers: BackendRecord) {
        val platformEra = PlatformEra(era)
        val view =
            PublishedView(revision, catalog(look), servers.toList(), emptySet(), platformEra)
        gateway.tick(ViewReceived(view, ViewSource.PLATFORM))
    }

    /** The servers that calls go to. */
    private fun used(): Set<String> =
        List(20) { gateway.call(look).second.all<StartSend>().map { it.server } }.flatten().toSet()

    // Guards against a server that left while the platform was away and that a second copy holds.
    @Test
    fun `a server that left between two eras stays unused after a second restore`() {
        publish(1, 10, server("a"), server("b"))
        publish(2, 5, server("b"))
        gateway.tick(afterMs = 3_000)
        publish(3, 6, server("a"), server("b"))

        expectThat(used()).isEqualTo(setOf("b"))
    }

    // Guards against an earlier life that is followed by a process that never saw it.
    @Test
    fun `a copy with an earlier life of a server changes nothing`() {
        publish(1, 10, server("a") { it.copy(startedAtUnixMs = 7) })
        publish(2, 5, server("a"))
        val startedAt = gateway.world.backends.map { it.record.startedAtUnixMs }

        expectThat(startedAt).isEqualTo(listOf(7L))
    }

    // Guards against lost writes that stay in force for good.
    @Test
    fun `a lost drain ends when nobody writes it again`() {
        publish(1, 10, server("a") { it.copy(isDraining = true) })
        gateway.tick(afterMs = 5_000)
        publish(2, 5, server("a"))
        val usedBefore = used()
        gateway.tick(afterMs = 10_000)
        gateway.tick()

        expectThat(usedBefore).isEmpty()
        expectThat(used()).isEqualTo(setOf("a"))
    }
}
