/*
 * Orders engines to load models. The desired placement is a pure function of the configuration and
 * the server list, so that two processes that both consider themselves the owner of an engine
 * during a change of ownership send the same order.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.VmState

/** Time for which a new owner sends no order to an engine that does not check fencing numbers. */
const val UNFENCED_WAIT_MS = 2 * SUSPECT_AFTER_MS

/**
 * Model loads per minute that the weight store can serve, divided equally among failure domains.
 */
const val WEIGHT_STORE_LOADS_PER_MINUTE = 60

/** Delay before an order that failed or was refused is sent again. */
const val ENGINE_ORDER_RETRY_MS = 5_000L

/**
 * Interval at which an order that was carried out is sent again. An engine that restarts loses its
 * models and does not report it. The order is idempotent: an engine that still holds the models
 * does nothing.
 */
const val ENGINE_ORDER_REPEAT_MS = 60_000L

private const val PLACEMENT_SCAN_MS = 500L
private const val MS_PER_MINUTE = 60_000.0

/** The orders sent to one engine and the models that it confirmed. */
class Placement(val server: BackendServerId) {
    /** Models of the latest order that the engine carried out. */
    var confirmedModels: Set<ModelId> = emptySet()

    /** Models of the order in progress; null when there is none. */
    var pendingModels: Set<ModelId>? = null
    var fencing = 0L
    var retryAtMs = 0L

    /** Time at which the latest order that was carried out is sent again. */
    var refreshAtMs = 0L
}

/** Maintains the table of placements and sends orders to engines. */
class PlacementSystem : TickSystem {
    private var nextScanMs = 0L
    private var refilledMs = 0L

    /**
     * Tokens of the rate limit, one per model load. Negative after an order of several loads; later
     * orders wait until it is refilled.
     */
    private var loadTokens = 1.0

    override fun run(world: World, tick: Tick) {
        tick.each<EngineOrderEnded> { handleOrderEnded(world, tick, it) }
        if (tick.nowMs < nextScanMs) return
        nextScanMs = tick.nowMs + PLACEMENT_SCAN_MS
        val document = world.configuration.document ?: return
        refillLoadTokens(world, tick, document)
        if (world.isDispatchHeld(tick.nowMs)) return
        val desired = document.desiredModels(world.backends.map { it.record })
        world.placements.removeIf { world.backends[it.server]?.owner != world.self.vm }
        for ((id, models) in world.byDueTime(desired)) {
            val server = world.backends[id] ?: continue
            if (server.owner == world.self.vm) sendOrderIfDue(world, tick, server, models)
        }
    }

    /**
     * Sorts new orders before repeated ones, and repeated orders by the time at which they are
     * due.
     */
    private fun World.byDueTime(desired: Map<BackendServerId, Set<ModelId>>) =
        desired.entries.sortedBy { (id, models) ->
            val placement = placements[id]?.takeIf { it.confirmedModels == models }
            placement?.let { maxOf(it.refreshAtMs, it.retryAtMs) } ?: Long.MIN_VALUE
        }

    /** Refills at this domain's share of the rate, divided by its number of serving entry VMs. */
    private fun refillLoadTokens(world: World, tick: Tick, document: Configuration) {
        val domains = document.regions.values.sumOf { it.domains.size }.coerceAtLeast(1)
        val owners = world.servingVmsOfOwnDomain().size.coerceAtLeast(1)
        val loadsPerMs = WEIGHT_STORE_LOADS_PER_MINUTE / MS_PER_MINUTE / domains / owners
        loadTokens = minOf(1.0, loadTokens + (tick.nowMs - refilledMs) * loadsPerMs)
        refilledMs = tick.nowMs
    }

    private fun sendOrderIfDue(
        world: World,
        tick: Tick,
        server: BackendServer,
        models: Set<ModelId>,
    ) {
        val sequence = world.configuration.snapshot?.sequence ?: return
        val placement = world.placements.getOrPut(server.id) { Placement(server.id) }
        val isRefresh = placement.confirmedModels == models
        val isUpToDate = isRefresh && tick.nowMs < placement.refreshAtMs
        val isWaiting = placement.pendingModels != null || tick.nowMs < placement.retryAtMs
        if (isUpToDate || isWaiting) return
        // Without fencing, a previous owner that has not noticed the loss of its ownership may
        // still send an older order.
        val isOverlapPossible = tick.nowMs < server.ownedSinceMs + UNFENCED_WAIT_MS
        if (!server.record.checksFencing && isOverlapPossible) return
        if (loadTokens < 1.0) return
        // A restarted engine loads all models again, so a repeated order counts with all its
        // models.
        loadTokens -= if (isRefresh) models.size else (models - placement.confirmedModels).size
        placement.pendingModels = models
        placement.fencing = maxOf(placement.fencing, sequence.value)
        tick.emit(EnsureModels(server.record, models, placement.fencing))
        tick.journal.count(Counter.ENGINE_ORDERS, "sent")
        val details = mapOf("server" to server.id, "fencing" to placement.fencing)
        tick.journal.log(LogEvent.ENGINE_ORDER_SENT, details)
    }

    private fun handleOrderEnded(world: World, tick: Tick, event: EngineOrderEnded) {
        val placement = world.placements[event.server] ?: return
        // The outcome of an order from an earlier ownership does not apply to the order in
        // progress.
        if (event.fencing != placement.fencing) return
        val pendingModels = placement.pendingModels ?: return
        placement.pendingModels = null
        tick.journal.count(Counter.ENGINE_ORDERS, event.outcome.name.lowercase())
        if (event.outcome == EngineOrderOutcome.DONE) {
            placement.confirmedModels = pendingModels
            placement.refreshAtMs = tick.nowMs + ENGINE_ORDER_REPEAT_MS
            return
        }
        placement.retryAtMs = tick.nowMs + ENGINE_ORDER_RETRY_MS
        val details = mapOf("server" to event.server, "outcome" to event.outcome)
        tick.journal.log(LogEvent.ENGINE_ORDER_REFUSED, details)
    }
}

/**
 * Returns the models that each of [servers], all of one failure domain, should hold. A server that
 * should hold none is omitted, because orders only load models and never unload any.
 */
fun Configuration.desiredModels(
    servers: List<BackendServerRecord>,
): Map<BackendServerId, Set<ModelId>> {
    val desired = HashMap<BackendServerId, Set<ModelId>>()
    for ((id, service) in services) {
        if (service !is Service.LanguageModel) continue
        val holders = servers
            .filter { id in it.services && it.state == VmState.LIVE }
            .rendezvousOrder(hashKey(id.value)) { it.id.value }
            .take(service.replicasPerDomain)
        for (holder in holders) {
            desired.merge(holder.id, service.adapters + service.model) { a, b -> a + b }
        }
    }
    return desired
}
