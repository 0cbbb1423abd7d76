/*
 * Tells engines which models to hold. The desired placement is a pure function of configuration and server list, so that
 * two owners of one engine during a change of ownership give the same order.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.VmState

/** Time for which a new owner gives no order to an engine that ignores fencing numbers. */
const val UNFENCED_WAIT_MS = 2 * SUSPECT_AFTER_MS

/** Loads that the weight store serves in a minute, shared equally by all failure domains. */
const val WEIGHT_STORE_LOADS_PER_MINUTE = 60

/** Time until an order that failed or was refused is given again. */
const val ENGINE_ORDER_RETRY_MS = 5_000L

/**
 * Time after which an order that was carried out is given again. An engine that restarts has lost its models and does not
 * say so; the order is idempotent, so an engine that still holds them does nothing.
 */
const val ENGINE_ORDER_REPEAT_MS = 60_000L

private const val PLACEMENT_SCAN_MS = 500L
private const val MS_PER_MINUTE = 60_000.0

/** What one engine should hold and what it was told. */
class Placement(val server: BackendServerId) {
    /** Models of the newest order that the engine carried out. */
    var loaded: Set<ModelId> = emptySet()

    /** Models of the order under way; null when there is none. */
    var ordered: Set<ModelId>? = null
    var fencing = 0L
    var nextOrderMs = 0L

    /** When the order that was carried out last is due again. */
    var repeatMs = 0L
}

/** Keeps the table of placements and gives engine orders. */
class PlacementSystem : TickSystem {
    private var nextScanMs = 0L
    private var refilledMs = 0L

    /** Loads that may start now. Below zero after an order of several loads, which later orders wait for. */
    private var loadTokens = 1.0

    override fun run(world: World, tick: Tick) {
        tick.each<EngineOrderEnded> { ended(world, tick, it) }
        if (tick.nowMs < nextScanMs) return
        nextScanMs = tick.nowMs + PLACEMENT_SCAN_MS
        val document = world.configuration.document ?: return
        refill(world, tick, document)
        if (world.isDispatchHeld(tick.nowMs)) return
        val desired = document.desiredModels(world.backends.map { it.record })
        world.placements.removeIf { world.backends[it.server]?.owner != world.self.vm }
        for ((id, models) in world.byUrgency(desired)) {
            val server = world.backends[id] ?: continue
            if (server.owner == world.self.vm) ensure(world, tick, server, models)
        }
    }

    /** New orders come before repeats, and the repeat that has waited longest before others. */
    private fun World.byUrgency(desired: Map<BackendServerId, Set<ModelId>>) =
        desired.entries.sortedBy { (id, models) ->
            val placement = placements[id]?.takeIf { it.loaded == models }
            placement?.let { maxOf(it.repeatMs, it.nextOrderMs) } ?: Long.MIN_VALUE
        }

    /** The rate is the own domain's share, divided by the owners that draw on it. */
    private fun refill(world: World, tick: Tick, document: Configuration) {
        val domains = document.regions.values.sumOf { it.domains.size }.coerceAtLeast(1)
        val owners = world.servingVmsOfOwnDomain().size.coerceAtLeast(1)
        val loadsPerMs = WEIGHT_STORE_LOADS_PER_MINUTE / MS_PER_MINUTE / domains / owners
        loadTokens = minOf(1.0, loadTokens + (tick.nowMs - refilledMs) * loadsPerMs)
        refilledMs = tick.nowMs
    }

    private fun ensure(world: World, tick: Tick, server: BackendServer, models: Set<ModelId>) {
        val sequence = world.configuration.snapshot?.sequence ?: return
        val placement = world.placements.getOrPut(server.id) { Placement(server.id) }
        val isRepeat = placement.loaded == models
        val isSettled = isRepeat && tick.nowMs < placement.repeatMs
        val isWaiting = placement.ordered != null || tick.nowMs < placement.nextOrderMs
        if (isSettled || isWaiting) return
        // Without fencing, a previous owner that has not noticed its loss may still give an older order.
        val isTooEarly = tick.nowMs < server.ownedSinceMs + UNFENCED_WAIT_MS
        if (!server.record.checksFencing && isTooEarly) return
        if (loadTokens < 1.0) return
        // An engine that restarted loads everything again, so a repeat counts in full against the rate.
        loadTokens -= if (isRepeat) models.size else (models - placement.loaded).size
        placement.ordered = models
        placement.fencing = maxOf(placement.fencing, sequence.value)
        tick.emit(EnsureModels(server.record, models, placement.fencing))
        tick.journal.count(Counter.ENGINE_ORDERS, "sent")
        val details = mapOf("server" to server.id, "fencing" to placement.fencing)
        tick.journal.log(LogEvent.ENGINE_ORDER_SENT, details)
    }

    private fun ended(world: World, tick: Tick, event: EngineOrderEnded) {
        val placement = world.placements[event.server] ?: return
        // An outcome of an earlier ownership says nothing about the order under way.
        if (event.fencing != placement.fencing) return
        val ordered = placement.ordered ?: return
        placement.ordered = null
        tick.journal.count(Counter.ENGINE_ORDERS, event.outcome.name.lowercase())
        if (event.outcome == EngineOrderOutcome.DONE) {
            placement.loaded = ordered
            placement.repeatMs = tick.nowMs + ENGINE_ORDER_REPEAT_MS
            return
        }
        placement.nextOrderMs = tick.nowMs + ENGINE_ORDER_RETRY_MS
        val details = mapOf("server" to event.server, "outcome" to event.outcome)
        tick.journal.log(LogEvent.ENGINE_ORDER_REFUSED, details)
    }
}

/**
 * The models that each of [servers], all of one failure domain, should hold. A server without a model of its own is left
 * out: orders make sure that models are loaded and never unload one.
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
