/*
 * Follows backend servers: when bytes last came from them, whether they are cold after a return, and the decay of what
 * was observed.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId

/** Time between two scans of the table. */
private const val SCAN_INTERVAL_MS = 500L

/** Part of a server's failure share that stays after one scan; half of it is forgotten in about 3 s. */
private const val FAILURE_DECAY = 0.89

/** Part of the recent prompt tokens that stays after one scan; the sum stands for about the last two seconds. */
private const val PROMPT_DECAY = 0.78

/** After this time without an answer to health checks a returned server is used as a cold one. */
private const val HEALTH_PATIENCE_MS = 3_000L

/** Keeps the observations of backend servers. */
class ServerSystem : GatewaySystem {
    private var scannedMs = Long.MIN_VALUE / 2
    private val wantedSinceMs =
        HashMap<BackendServerId, Long>()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<ServerActivity> { heard ->
            heard.servers.forEach { world.backends[it]?.lastHeardMs = tick.nowMs }
            heard.gaps.forEach { (id, gaps) -> world.backends[id]?.gapEstimator?.addSample(gaps, tick.nowMs) }
        }
        tick.each<HealthChecked> { health(world, tick, it) }
        if (tick.nowMs - scannedMs >= SCAN_INTERVAL_MS) {
            scannedMs = tick.nowMs
            scan(world, tick)
        }
        tick.wakeAt(scannedMs + SCAN_INTERVAL_MS)
    }

    private fun health(world: GatewayWorld, tick: GatewayTick, read: HealthChecked) {
        val backend = world.backends[read.server] ?: return
        val coldForMs = read.coldForMs
        if (coldForMs == null) {
            backend.lastHealthTimeoutMs = tick.nowMs
            return
        }
        backend.lastHeardMs = tick.nowMs
        if (coldForMs > 0) backend.coldUntilMs = tick.nowMs + coldForMs
        if (read.isHealthy) {
            backend.isHealthCheckPending = false
            wantedSinceMs.remove(read.server)
        }
    }

    private fun scan(world: GatewayWorld, tick: GatewayTick) {
        for (backend in world.backends) {
            backend.failureRate *= FAILURE_DECAY
            backend.recentPromptTokens *= PROMPT_DECAY
            if (backend.isHealthCheckPending) checkHealth(world, tick, backend)
        }
    }

    private fun checkHealth(world: GatewayWorld, tick: GatewayTick, backend: Backend) {
        val service = world.catalog?.service(backend.record.service) ?: return
        val sinceMs = wantedSinceMs.getOrPut(backend.id) { tick.nowMs }
        if (tick.nowMs - sinceMs > HEALTH_PATIENCE_MS) {
            wantedSinceMs.remove(backend.id)
            backend.isHealthCheckPending = false
            backend.coldUntilMs = tick.nowMs + HEALTH_PATIENCE_MS
            return
        }
        tick.emit(CheckHealth(backend.id, backend.record.address, service.healthPath))
    }
}
