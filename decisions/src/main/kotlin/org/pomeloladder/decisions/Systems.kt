/*
 * The systems of production in their fixed order, with the policies as parameters, so that experiments can replace one.
 */
package org.pomeloladder.decisions

/** Policies of one process. Defaults are those of production. */
class Policies {
    var route: RoutePolicy = RealRoutePolicy()
    var queue: QueuePolicy = QueuePolicy(::FairQueue)
    var outlier: OutlierPolicy = RealOutlierPolicy()
    var hedge: HedgePolicy = RealHedgePolicy()
    var owner: OwnerPolicy = RendezvousOwnerPolicy()
}

/** Policies with changes made in [change]. */
fun policies(change: Policies.() -> Unit = {}): Policies = Policies().apply(change)

/** All systems. Membership comes before routing, so that no tick routes on ownership that the same tick revokes. */
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
