/*
 * Takes changed settings into force while the process runs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/** Replaces bounds and seeds; settings that are not valid change nothing. */
class SettingsSystem : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<SettingsReloaded> { read ->
            read.settings?.let {
                world.bounds = it.bounds
                world.seeds = it.seeds
            }
            val details = mapOf("isApplied" to (read.settings != null), "problem" to read.problem)
            tick.journal.log(LogEvent.SETTINGS_RELOADED, details)
        }
    }
}
