/*
 * The systems of the route gateway, in the order in which each tick runs them.
 */
package org.pomeloladder.gateway

/**
 * Returns all systems. [ViewSystem] runs before [CallSystem], so that no call is routed by a view
 * that the same tick replaces.
 * [RestartSystem] and [LeavingSystem] run before the systems that place calls, so that none goes to
 * a server that the same tick doubts or knows to leave. [PathSystem] does too, and follows
 * [ServerSystem], which records when servers were heard.
 * [QuarantineSystem] runs before [SendSystem], so that a call that was lost with its server is held
 * when the same tick accuses its prompt, and before [ProofWaitSystem], so that no call is sent that
 * the same tick refuses. [StreamOriginSystem] runs after [SendSystem], so that other VMs are told of a
 * stream in the tick of its first event.
 */
fun gatewaySystems(
    self: PeerIdentity,
    placement: PlacementPolicy = RealPlacementPolicy(),
    quarantine: QuarantinePolicy = RealQuarantinePolicy(),
): List<GatewaySystem> {
    val placer = CallPlacer(placement, quarantine)
    return listOf(
        DelaySystem(),
        SettingsSystem(),
        ViewSystem(),
        RestartSystem(),
        LeavingSystem(),
        ServerSystem(),
        PathSystem(),
        BrittleSystem(),
        QuarantineSystem(placer, quarantine),
        ProofWaitSystem(placer),
        PeerSystem(self, placement),
        SendSystem(placer),
        StreamOriginSystem(placer),
        CallSystem(placer),
        ShutdownSystem(placer),
        EntrySystem(),
    )
}
