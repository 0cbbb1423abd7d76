/*
 * Admission of new requests from callers and of attempts forwarded by peers. Checks whether this
 * process can serve and whether the subscriber may use the service in this region.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.SubscriberId

/** Maximum number of callers' requests that one process holds at a time. */
const val MAX_REQUESTS = 4_096

/** Admits or refuses the requests and forwarded attempts that arrived in this tick. */
class AdmissionSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<RequestArrived> { admit(world, tick, it.spec) }
        tick.each<ForwardArrived> { admitForward(world, tick, it) }
    }

    private fun admit(world: World, tick: Tick, spec: RequestSpec) {
        val refusal = world.refusalOf(spec) ?: overloadRefusal(world)
        if (refusal != null) {
            tick.refuse(spec.id, world.withProvableRunState(tick, spec, refusal))
            return
        }
        val request = Request(spec, tick.nowMs)
        world.requests[spec.id] = request
        if (spec.order == null) world.routeQueue.addLast(spec.id)
        tick.wakeAt(request.deadlineMs)
    }

    private fun overloadRefusal(world: World): Refusal? {
        if (world.requests.size < MAX_REQUESTS) return null
        return Refusal(RefusalReason.OVERLOADED, retryAfterMs = 1_000)
    }

    private fun admitForward(world: World, tick: Tick, event: ForwardArrived) {
        // A duplicate frame must not replace an attempt that is in progress.
        if (event.attempt in world.attempts) return
        val refused = world.refusalOf(event.spec) ?: residencyRefusal(world, event.spec)
        if (refused != null) {
            val refusal = world.withProvableRunState(tick, event.spec, refused)
            tick.emit(RefuseForward(event.attempt, event.from, refusal))
            tick.journal.count(Counter.REFUSALS, refusal.reason.code)
            return
        }
        world.attempts[event.attempt] = Attempt(
            id = event.attempt,
            spec = event.spec,
            origin = Origin.Peer(event.from),
            place = Place.Arrived(event.chosenServer),
            createdMs = tick.nowMs,
            deadlineMs = tick.nowMs + event.spec.budgetMs,
        ).also { it.fromToken = event.fromToken }
    }

    private fun residencyRefusal(world: World, spec: RequestSpec): Refusal? {
        if (world.mayProcessInOwnRegion(spec.subscriber)) return null
        return Refusal(RefusalReason.RESIDENCY, detail = "not allowed in region ${world.region}")
    }
}

/** Returns why this process cannot admit [spec], or null when it can. */
private fun World.refusalOf(spec: RequestSpec): Refusal? {
    val document =
        configuration.document ?: return Refusal(RefusalReason.NOT_READY, retryAfterMs = 500)
    val position = configuration.position
    if (position != null && spec.sequence > position.sequence) {
        configuration.recordSeen(spec.sequence)
        return Refusal(RefusalReason.CONFIGURATION_BEHIND, retryAfterMs = 500)
    }
    if (process.isDraining && spec.isNewWork) {
        return Refusal(RefusalReason.DRAINING, retryAfterMs = 0)
    }
    return document.refusalOf(spec)
}

private fun Configuration.refusalOf(spec: RequestSpec): Refusal? {
    val subscriber = subscribers[spec.subscriber]
        ?: return Refusal(RefusalReason.UNAUTHORIZED, detail = "unknown subscriber")
    if (spec.service !in services) {
        return Refusal(RefusalReason.UNKNOWN_SERVICE, detail = "unknown service ${spec.service}")
    }
    val service = services[spec.service]
    if (spec.order == null && service is Service.Plain && !service.idempotent) {
        val detail = "calls of ${spec.service} must not be repeated and go through /v1/orders"
        return Refusal(RefusalReason.BAD_REQUEST, detail = detail)
    }
    val group = groups[subscriber.group]
    if (group == null || spec.service !in group.services) {
        return Refusal(
            RefusalReason.SERVICE_NOT_ALLOWED,
            detail = "service ${spec.service} is not open to group ${subscriber.group}",
        )
    }
    return null
}

/**
 * Returns the regions where requests of [subscriber] may be processed: the allowed regions, limited
 * to the home region of a subscriber that has one.
 */
fun Configuration.processingRegions(subscriber: SubscriberId): Set<RegionId> {
    val home = subscribers[subscriber]?.homeRegion ?: return allowedRegions(subscriber)
    return allowedRegions(subscriber).filterTo(HashSet()) { it == home }
}

/** Whether the configuration in force allows processing data of [subscriber] in this region. */
fun World.mayProcessInOwnRegion(subscriber: SubscriberId): Boolean {
    val ownRegion = region ?: return false
    return configuration.document?.processingRegions(subscriber)?.contains(ownRegion) ?: false
}

/** Refuses a caller's request and counts the reason. */
fun Tick.refuse(request: RequestId, refusal: Refusal) {
    emit(RefuseRequest(request, refusal))
    journal.count(Counter.REFUSALS, refusal.reason.code)
    journal.count(Counter.REQUESTS, "refused")
}
