/*
 * Runs queries of other threads on the tables, after all other systems.
 */
package org.pomeloladder.decisions

/** Executes each [Inspection] of the tick. */
class InspectionSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<Inspection> { it.read(world, tick.nowMs) }
    }
}
