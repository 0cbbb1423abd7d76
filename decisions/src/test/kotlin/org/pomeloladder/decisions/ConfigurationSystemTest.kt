package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.SubscriberGroup
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.VmId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class ConfigurationSystemTest {
    @Test
    fun `a change read in one domain is in force in all 8 processes within 2 s without platform`() {
        for (seed in 1..20) {
            val network = twoDomains(seed, size = 4)
            network.advance(4_000)

            network.publish("norte-2", removal(2))
            network.advance(2_000)

            expectThat(network.sequences()).isEqualTo(setOf(ConfigSequence(2)))
        }
    }

    @Test
    fun `conflicting and invalid patches get the same verdict everywhere, in any reading order`() {
        val network = twoDomains(seed = 5)
        network.advance(4_000)
        val unknown = SubscriberGroupId("unknown")
        val invalid = ConfigEntry(
            ConfigSequence(4),
            Patch(ConfigVersion(2), listOf(Change.RemoveGroup(unknown))),
        )

        network.publish("centro-1", removal(2))
        network.publish("norte-1", removal(2), removal(3), invalid)
        network.advance(4_000)

        val states = network.processes.values.map { it.world.configuration }
        expectThat(states.map { it.position }.toSet()).hasSize(1)
        expectThat(states.map { it.recentVerdicts.toList() }.toSet()).hasSize(1)
    }

    @Test
    fun `a stale service does not take a process back after peers moved it on`() {
        val test = TestWorld()
        test.tick(ConfigUpdate(null, listOf(removal(2))))

        val old = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), testConfiguration())
        test.tick(ConfigUpdate(old, emptyList()))

        expectThat(test.world.configuration.snapshot?.sequence).isEqualTo(ConfigSequence(2))
    }

    @Test
    fun `a restarted process waits for its peers, so that a stale service cannot take it back`() {
        val network = twoDomains(seed = 6)
        network.publish("norte-2", removal(2))
        network.advance(2_000)
        val restarted = network.add(entryVm("norte-1"), hasConfiguration = false)
        restarted.world.process.isStartConfirmed = false
        val old = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), testConfiguration())

        network.tick("norte-1", ConfigUpdate(old, emptyList()))
        val isReadyAtOnce = restarted.world.trafficView().isReady
        network.list("norte-1", twoDomainVms(2), twoDomainServers())
        network.advance(1_000)

        expectThat(isReadyAtOnce).isFalse()
        expectThat(restarted.world.process.isStartConfirmed).isEqualTo(true)
        expectThat(restarted.world.configuration.snapshot?.sequence).isEqualTo(ConfigSequence(2))
    }

    @Test
    fun `nothing is dispatched while a newer residency rule is known to exist`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1"), entryVm("norte-2")), listOf(server("engine-1")))
        val newer = test.world.configuration.position?.copy(sequence = ConfigSequence(2))
        test.tick(test.heartbeat("norte-2") { copy(position = newer) })

        val commands = test.tick(RequestArrived(request("r1")))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(commands).filterIsInstance<StartForward>().isEmpty()
        val entries = ConfigEntries(null, listOf(restriction(2)))
        val after = test.tick(PeerControl(VmId("norte-2"), entries)) + test.advance(500)
        expectThat(after).filterIsInstance<StartAttempt>().isEmpty()
    }
}

/** An accepted patch against version 1; at a later place in the log it is a conflict. */
internal fun removal(sequence: Long) = ConfigEntry(
    ConfigSequence(sequence),
    Patch(ConfigVersion(1), listOf(Change.RemoveSubscriber(CAFE))),
)

/** Takes the region norte from the group of the test's subscriber. */
internal fun restriction(sequence: Long): ConfigEntry {
    val group = SubscriberGroup(setOf(CHAT, ORDERS), setOf(RegionId("centro")))
    return ConfigEntry(
        ConfigSequence(sequence),
        Patch(ConfigVersion(1), listOf(Change.PutGroup(GROUP, group))),
    )
}
