/*
 * Applies changed settings while the process runs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/** Replaces the limits and the seed addresses. Invalid settings change nothing. */
class SettingsSystem : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<SettingsReloaded> { event ->
            event.settings?.let {
                world.bounds = it.bounds
                world.seeds = it.seeds
            }
            val details = mapOf("isApplied" to (event.settings != null), "problem" to event.problem)
            tick.journal.log(LogEvent.SETTINGS_RELOADED, details)
        }
    }
}
