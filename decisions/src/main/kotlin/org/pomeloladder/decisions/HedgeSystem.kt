/*
 * Gives late idempotent requests one second attempt on another backend server. It measures from the ingress, so that
 * forwarded attempts, the time in the owner's queue included, count like own ones.
 */
package org.pomeloladder.decisions

/** Part of requests that may be hedged. */
const val HEDGE_BUDGET_SHARE = 0.05
private const val HEDGE_SCAN_MS = 100L
private const val HEDGE_PERCENTILE = 0.95

/** Observations before the percentile is used. */
private const val LEAST_FIRST_TOKENS = 20

/** Window of recent observations; wide enough for a percentile, short enough to follow the load. */
private const val FIRST_TOKEN_WINDOW = 200

/** Hedges and counts how hedges end. Runs after the completion system, which chooses winners. */
class HedgeSystem(
    private val hedgePolicy: HedgePolicy = RealHedgePolicy(),
    private val routePolicy: RoutePolicy = RealRoutePolicy(),
) : TickSystem {
    private val budget = AttemptBudget(HEDGE_BUDGET_SHARE)
    private val recent = ArrayDeque<Double>()
    private var p95MsPerToken: Double? = null
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<RequestArrived> { if (it.spec.order == null) budget.deposit() }
        tick.each<AttemptFirstToken> { firstToken(world, tick, it.attempt) }
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + HEDGE_SCAN_MS
            scan(world, tick)
        }
        if (world.requests.size > 0) tick.wakeAt(nextScanMs)
    }

    private fun firstToken(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val request = world.requests[attempt.spec.id] ?: return
        if (request.winner != id || request.firstTokenAtMs != tick.nowMs) return
        if (request.isHedged) {
            tick.journal.count(Counter.HEDGES, if (attempt.isHedge) "won" else "lost")
        }
        if (attempt.fromToken > 0 || attempt.spec.order != null) return
        // A hedged request counts from its arrival, or hedges would hide the slowness that they mend.
        val waitMs = (tick.nowMs - request.arrivedMs).toDouble()
        recent.addLast(waitMs / attempt.spec.firstTokenCostTokens)
        if (recent.size > FIRST_TOKEN_WINDOW) recent.removeFirst()
    }

    private fun scan(world: World, tick: Tick) {
        p95MsPerToken = percentile()
        if (world.isDispatchHeld(tick.nowMs)) return
        for (request in world.requests.filter {
            isLate(it, tick.nowMs)
        }) {
            hedge(world, tick, request)
        }
    }

    private fun percentile(): Double? {
        if (recent.size < LEAST_FIRST_TOKENS) return null
        return recent.sorted()[(recent.size * HEDGE_PERCENTILE).toInt()]
    }

    private fun isLate(request: Request, nowMs: Long): Boolean {
        if (request.isHedged || request.winner != null || request.deliveredTokens > 0) return false
        if (request.attempts.size != 1) return false
        val delayMs = hedgePolicy.delayMs(request.spec, p95MsPerToken) ?: return false
        return nowMs - request.arrivedMs >= delayMs
    }

    /** Another failure domain has a cold cache and a slow link, so a hedge stays in the own one. */
    private fun hedge(world: World, tick: Tick, request: Request) {
        val route = routePolicy.route(world, request, tick)
        val isLocal = route is Route.Own || (route is Route.Peer && route.server != null)
        if (!isLocal) return
        request.isHedged = true
        if (!budget.tryWithdraw()) {
            tick.journal.count(Counter.HEDGES, "over-budget")
            return
        }
        tick.journal.count(Counter.HEDGES, "sent")
        world.startAttempt(tick, request, route, isHedge = true)
        // Dispatch has run in this tick already.
        tick.wakeAt(tick.nowMs)
    }
}
