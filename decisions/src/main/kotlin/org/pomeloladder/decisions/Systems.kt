/*
 * The production systems in their fixed order. Policies are parameters, so that experiments can
 * replace them.
 */
package org.pomeloladder.decisions

/** The policies of a process. The defaults are those of production. */
class Policies {
    var route: RoutePolicy = RealRoutePolicy()
    var queue: QueuePolicy = QueuePolicy(::FairQueue)
    var outlier: OutlierPolicy = RealOutlierPolicy()
    var hedge: HedgePolicy = RealHedgePolicy()
    var owner: OwnerPolicy = RendezvousOwnerPolicy()
}

/** Returns the default policies, modified by [change]. */
fun policies(change: Policies.() -> Unit = {}): Policies = Policies().apply(change)

/**
 * Returns all systems. Membership runs before routing, so that a tick never routes by an ownership
 * that it also revokes.
 */
fun systems(policies: Policies = policies()): List<TickSystem> = listOf(
    PauseSystem(),
    ConfigurationSystem(),
    MembershipSystem(),
    BackendSystem(policies.owner),
    SummarySystem(),
    AdmissionSystem(),
    OrderSystem(),
    RoutingSystem(policies.route),
    DispatchSystem(policies.queue),
    UsageSystem(),
    OutlierSystem(policies.outlier),
    CompletionSystem(),
    HedgeSystem(policies.hedge, policies.route),
    PlacementSystem(),
    DrainSystem(),
    TraceSystem(),
    InspectionSystem(),
)
