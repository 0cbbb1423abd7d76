/*
 * The log comes back from a copy that ends at position 1, after position 2 was in force. Position 2
 * is given out again, with another entry.
 */
package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigEra
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.applied
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Time after which all reporters know the serving VMs of the other domain. */
private const val STEADY_MS = 10_000L

class RestoredLogTest {
    private val rewrite = listOf(Change.RemoveSubscriber(SubscriberId("cafe-2")))
    private val rewritten = testConfiguration().applied(rewrite)

    // Guards against a change that nobody follows because its sequence was given out before.
    @Test
    fun `a change that reuses a lost sequence reaches all 8 processes within 2 s`() {
        for (seed in 1..20) {
            val network = twoDomains(seed, size = 4)
            network.advance(STEADY_MS)
            network.publish("norte-2", removal(2))
            network.advance(2_000)

            network.tick("norte-2", ConfigUpdate(restoredSnapshot(), emptyList()))
            network.advance(2_000)

            expectThat(network.documents()).isEqualTo(setOf(rewritten))
        }
    }

    // Guards against two VMs that each keep their own branch at one position.
    @Test
    fun `a process started after the restore and its peers agree, and no digest differs`() {
        val network = twoDomains(seed = 6)
        network.publish("centro-1", removal(2))
        network.advance(2_000)
        val restarted = network.add(entryVm("norte-1"), hasConfiguration = false)
        restarted.world.process.isStartConfirmed = false

        network.tick("norte-1", ConfigUpdate(restoredSnapshot(), emptyList()))
        network.list("norte-1", twoDomainVms(2), twoDomainServers())
        network.advance(2_000)

        expectThat(network.documents()).isEqualTo(setOf(rewritten))
        val logged = network.processes.values.flatMap { it.journal.logged }
        expectThat(logged).doesNotContain(LogEvent.CONFIG_DIVERGED)
    }

    // Guards against a document that mixes both branches, and against work under a lost one.
    @Test
    fun `an entry of the new branch is not applied to the lost one, and holds dispatch`() {
        val test = TestWorld()
        test.tick(ConfigUpdate(null, listOf(removal(2))))
        val lost = test.world.configuration.document

        val entry = ConfigEntry(restoredSequence(3), Patch(ConfigVersion(2), rewrite))
        test.tick(ConfigUpdate(null, listOf(entry)))

        expectThat(test.world.configuration.document).isEqualTo(lost)
        expectThat(test.world.isDispatchHeld(test.nowMs)).isTrue()
    }

    // Guards against an older configuration that comes back before anything was written again.
    @Test
    fun `a copy to which nothing was written does not replace the configuration in force`() {
        val test = TestWorld()
        test.tick(ConfigUpdate(null, listOf(removal(2))))
        val lost = test.world.configuration.document

        val copy = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), testConfiguration())
        test.tick(ConfigUpdate(copy, emptyList()))

        expectThat(test.world.configuration.document).isEqualTo(lost)
        expectThat(test.world.isDispatchHeld(test.nowMs)).isFalse()
    }

    private fun restoredSnapshot() =
        ConfigSnapshot(restoredSequence(2), ConfigVersion(2), rewritten)

    /** The position of an entry that was written after the restore. */
    private fun restoredSequence(number: Long) = ConfigSequence(ConfigEra(1).order(number))

    private fun TestNetwork.documents(): Set<Configuration?> =
        processes.values.map { it.world.configuration.document }.toSet()
}
