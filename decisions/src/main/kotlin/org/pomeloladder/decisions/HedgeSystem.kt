/*
 * Hedges late idempotent requests with one second attempt on another backend server. Times are
 * measured at the ingress, so that forwarded and local attempts are treated alike and the time in
 * the owner's queue is included.
 */
package org.pomeloladder.decisions

/** Share of requests that may be hedged. */
const val HEDGE_BUDGET_SHARE = 0.05
private const val HEDGE_SCAN_MS = 100L
private const val HEDGE_PERCENTILE = 0.95

/** Minimum number of observations for the percentile to be used. */
private const val MIN_FIRST_TOKENS = 20

/**
 * Number of recent observations that the percentile is taken from: enough for a percentile, and few
 * enough to follow changes of the load.
 */
private const val FIRST_TOKEN_WINDOW = 200

/**
 * Starts hedges and counts their outcomes. Runs after the completion system, which selects
 * winners.
 */
class HedgeSystem(
    private val hedgePolicy: HedgePolicy = RealHedgePolicy(),
    private val routePolicy: RoutePolicy = RealRoutePolicy(),
) : TickSystem {
    private val budget = AttemptBudget(HEDGE_BUDGET_SHARE)
    private val recentMsPerToken = ArrayDeque<Double>()
    private var p95MsPerToken: Double? = null
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<RequestArrived> { if (it.spec.order == null) budget.deposit() }
        tick.each<AttemptFirstToken> { recordFirstToken(world, tick, it.attempt) }
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + HEDGE_SCAN_MS
            scan(world, tick)
        }
        if (world.requests.size > 0) tick.wakeAt(nextScanMs)
    }

    private fun recordFirstToken(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val request = world.requests[attempt.spec.id] ?: return
        if (request.winner != id || request.firstTokenAtMs != tick.nowMs) return
        if (request.isHedged) {
            tick.journal.count(Counter.HEDGES, if (attempt.isHedge) "won" else "lost")
        }
        if (attempt.fromToken > 0 || attempt.spec.order != null) return
        // Hedged requests also count from their arrival; otherwise hedges would hide the slow
        // servers that they compensate for, and lower the percentile.
        val waitMs = (tick.nowMs - request.arrivedMs).toDouble()
        recentMsPerToken.addLast(waitMs / attempt.spec.firstTokenCostTokens)
        if (recentMsPerToken.size > FIRST_TOKEN_WINDOW) recentMsPerToken.removeFirst()
    }

    private fun scan(world: World, tick: Tick) {
        p95MsPerToken = computePercentile()
        if (world.isDispatchHeld(tick.nowMs)) return
        for (request in world.requests.filter {
            isLate(it, tick.nowMs)
        }) {
            hedge(world, tick, request)
        }
    }

    private fun computePercentile(): Double? {
        if (recentMsPerToken.size < MIN_FIRST_TOKENS) return null
        return recentMsPerToken.sorted()[(recentMsPerToken.size * HEDGE_PERCENTILE).toInt()]
    }

    private fun isLate(request: Request, nowMs: Long): Boolean {
        if (request.isHedged || request.winner != null || request.deliveredTokens > 0) return false
        if (request.attempts.size != 1) return false
        val delayMs = hedgePolicy.delayMs(request.spec, p95MsPerToken) ?: return false
        return nowMs - request.arrivedMs >= delayMs
    }

    /** Sends a hedge within the failure domain only; others have cold caches and slower links. */
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
        // The dispatch system has already run in this tick.
        tick.wakeAt(tick.nowMs)
    }
}
