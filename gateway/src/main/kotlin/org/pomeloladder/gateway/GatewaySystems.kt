/*
 * The systems of the route gateway, in the order in which each tick runs them.
 */
package org.pomeloladder.gateway

/**
 * Returns all systems. [ViewSystem] runs before [CallSystem], so that no call is routed by a view
 * that the same tick replaces.
 */
fun gatewaySystems(
    self: PeerIdentity,
    placement: PlacementPolicy = RealPlacementPolicy(),
): List<GatewaySystem> {
    val placer = CallPlacer(placement)
    return listOf(
        DelaySystem(),
        SettingsSystem(),
        ViewSystem(),
        ServerSystem(),
        PeerSystem(self, placement),
        SendSystem(placer),
        CallSystem(placer),
        ShutdownSystem(),
        EntrySystem(),
    )
}
