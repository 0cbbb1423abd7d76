package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SettingsSystemTest {
    private val gateway = TestGateway()

    @Test
    fun `changed bounds come into force while the process runs`() {
        val changed = gateway.world.bounds.copy(retrySlack = 7.0)
        gateway.tick(SettingsReloaded(ReloadedSettings(changed, emptyList()), null))

        expectThat(gateway.world.bounds.retrySlack).isEqualTo(7.0)
    }

    @Test
    fun `settings that are not valid change nothing`() {
        val before = gateway.world.bounds
        gateway.tick(SettingsReloaded(null, "no vm"))

        expectThat(gateway.world.bounds).isEqualTo(before)
    }
}
