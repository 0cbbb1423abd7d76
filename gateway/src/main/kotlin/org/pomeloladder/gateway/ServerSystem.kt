/*
 * Maintains the observations of backend servers: when they last sent bytes, whether they are cold
 * after their failure domain returned, and the decay of moving averages.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId

/** Interval between two scans of the table. */
private const val SCAN_INTERVAL_MS = 500L

/** Factor applied to a server's failure share at each scan; it has a half-life of about 3 s. */
private const val FAILURE_DECAY = 0.89

/**
 * Factor applied to the recent prompt tokens at each scan; the sum covers about the last two
 * seconds.
 */
private const val PROMPT_DECAY = 0.78

/**
 * A server of a returned failure domain whose health checks fail for this long is used as a cold
 * server.
 */
private const val HEALTH_CHECK_TIMEOUT_MS = 3_000L

/** A new entry arrives sooner than this, even if the store is first taken for silent. */
private const val VERSION_SETTLE_MS = 6_000L

/** Updates the observations of backend servers and sends health checks. */
class ServerSystem : GatewaySystem {
    private var lastScanMs = Long.MIN_VALUE / 2
    private val checkingSinceMs =
        HashMap<BackendServerId, Long>()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<ServerActivity> { activity ->
            activity.servers.forEach { world.backends[it]?.life?.lastHeardMs = tick.nowMs }
            activity.gaps.forEach { (id, gaps) ->
                world.backends[id]?.life?.gapEstimator?.addSample(gaps, tick.nowMs)
            }
        }
        tick.each<HealthChecked> { handleHealthCheck(world, tick, it) }
        if (tick.nowMs - lastScanMs >= SCAN_INTERVAL_MS) {
            lastScanMs = tick.nowMs
            scan(world, tick)
        }
        tick.wakeAt(lastScanMs + SCAN_INTERVAL_MS)
    }

    private fun handleHealthCheck(world: GatewayWorld, tick: GatewayTick, check: HealthChecked) {
        val backend = world.backends[check.server] ?: return
        val coldForMs = check.coldForMs
        if (coldForMs == null) {
            backend.life.lastHealthTimeoutMs = tick.nowMs
            return
        }
        backend.life.lastHeardMs = tick.nowMs
        if (coldForMs > 0) backend.life.coldUntilMs = tick.nowMs + coldForMs
        if (check.isHealthy) {
            backend.isHealthCheckPending = false
            checkingSinceMs.remove(check.server)
        }
    }

    private fun scan(world: GatewayWorld, tick: GatewayTick) {
        for (backend in world.backends) {
            backend.life.failureRate *= FAILURE_DECAY
            backend.life.recentPromptTokens *= PROMPT_DECAY
            if (backend.isHealthCheckPending) checkHealth(world, tick, backend)
            settleVersion(world, backend, tick.nowMs)
        }
    }

    /**
     * A server that has started again writes a new entry. Where none has come for long, the last one
     * is of the life that is known.
     */
    private fun settleVersion(world: GatewayWorld, backend: Backend, nowMs: Long) {
        val isSettled = backend.doubt == null &&
            world.process.isPlatformReachable &&
            nowMs - maxOf(backend.life.learnedMs, backend.provenMs) > VERSION_SETTLE_MS
        if (backend.life.version == null && isSettled) backend.life.version = backend.record.version
    }

    private fun checkHealth(world: GatewayWorld, tick: GatewayTick, backend: Backend) {
        val service = world.catalog?.service(backend.record.service) ?: return
        val sinceMs = checkingSinceMs.getOrPut(backend.id) { tick.nowMs }
        if (tick.nowMs - sinceMs > HEALTH_CHECK_TIMEOUT_MS) {
            checkingSinceMs.remove(backend.id)
            backend.isHealthCheckPending = false
            backend.life.coldUntilMs = tick.nowMs + HEALTH_CHECK_TIMEOUT_MS
            return
        }
        tick.emit(CheckHealth(backend.id, backend.record.address, service.healthPath, tick.nowMs))
    }
}
