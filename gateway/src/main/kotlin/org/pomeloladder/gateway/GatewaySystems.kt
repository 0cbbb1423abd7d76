/*
 * The systems of the route gateway in their fixed order.
 */
package org.pomeloladder.gateway

/** All systems. Views come before calls, so that no tick routes by a view that the same tick replaces. */
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
