package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class PauseSystemTest {
    @Test
    fun `a resumed process does not dispatch by a residency rule replaced during its pause`() {
        for (seed in 1..20) {
            val network = twoDomains(seed)
            network.advance(6_000)
            network.paused += "norte-1"
            network.advance(1_000)
            network.publish("norte-2", restriction(2))
            network.advance(5_000)
            // Loses the entries that peers pushed during the pause, so that the process only learns
            // of the change by requesting it.
            network.isCut = { from, _ -> from == "norte-1" }
            network.advance(100)
            network.isCut = { _, _ -> false }
            network.commands.clear()

            val atOnce = network.tick("norte-1", RequestArrived(request("r1")))
            network.paused.clear()
            network.advance(4_000)

            expectThat(atOnce).filterIsInstance<StartAttempt>().isEmpty()
            expectThat(network.commands.getValue("norte-1"))
                .filterIsInstance<StartAttempt>().isEmpty()
        }
    }

    @Test
    fun `messages queued during the pause do not end the hold, because they may be outdated`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1"), entryVm("norte-2")), listOf(server("engine-1")))
        test.nowMs += 10_000

        val stale = PeerControl(entryVm("norte-2").id, ConfigEntries(null, emptyList()))
        test.tick(stale, test.heartbeat("norte-2"), RequestArrived(request("r1")))
        test.nowMs += 100
        val commands = test.tick(stale)

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(test.world.backends.single().owner).isNull()
    }

    // Guards against a pause that costs the whole hold time although a peer has replied.
    @Test
    fun `a reply of a peer ends the hold after a pause early`() {
        val network = twoDomains(seed = 9)
        network.advance(6_000)
        network.paused += "norte-1"
        network.advance(5_000)
        network.paused.clear()

        network.advance(400)

        val process = network.processes.getValue("norte-1").world
        expectThat(process.isDispatchHeld(network.nowMs)).isEqualTo(false)
    }
}
