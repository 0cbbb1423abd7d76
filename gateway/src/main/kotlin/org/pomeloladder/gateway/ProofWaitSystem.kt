/*
 * Ends the waits of calls for the health checks of servers in doubt.
 */
package org.pomeloladder.gateway

/** Places waiting calls again after any evidence about a server in doubt, or after long enough. */
class ProofWaitSystem(private val placer: CallPlacer) : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        val hasEvidence = world.process.hasLifeEvidence
        world.process.hasLifeEvidence = false
        if (world.callsAwaitingProof.isEmpty()) return
        val due = world.callsAwaitingProof.filter { id ->
            hasEvidence || tick.nowMs >= (world.calls[id]?.proofUntilMs ?: tick.nowMs)
        }
        world.callsAwaitingProof -= due.toSet()
        for (id in due) world.calls[id]?.let { placer.place(world, tick, it) }
    }
}
