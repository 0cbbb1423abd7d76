/*
 * Finds out which backend servers this VM reaches. A failed connection or a check without an answer
 * may be the fault of the server or of the path from here to it, and callers gain nothing from
 * knowing which: the server gets nothing from this VM until it answers again, be it a health check
 * or a call on a connection that is still open. The VMs of a region tell each other how much of each
 * service they reach, so that one that reaches little hands its calls to a neighbour.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.LogEvent

/** A neighbour is better connected when it reaches this many times the slots that this VM reaches. */
private const val BETTER_PATH_FACTOR = 2

/** Keeps [Backend.unreachedSinceMs], and checks the servers that are not reached. */
class PathSystem : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is SendNotWritten -> onNotWritten(world, tick, event)
                is HealthChecked -> onHealthChecked(world, tick, event)
                is ServerActivity ->
                    event.servers.mapNotNull { world.backends[it] }
                        .forEach { regainPath(world, it) }
                else -> Unit
            }
        }
        checkUnreached(world, tick)
    }

    private fun onNotWritten(world: GatewayWorld, tick: GatewayTick, event: SendNotWritten) {
        if (event.reason != NotWrittenReason.CONNECT_FAILED) return
        val backend = world.serverOf(event.send) ?: return
        losePath(world, tick, backend, LogEvent.BACKEND_UNREACHABLE)
    }

    private fun onHealthChecked(world: GatewayWorld, tick: GatewayTick, check: HealthChecked) {
        val backend = world.backends[check.server] ?: return
        when {
            check.coldForMs != null -> regainPath(world, backend)
            // A full server may keep a check waiting while it answers calls.
            backend.life.lastHeardMs >= check.askedMs -> Unit
            else -> {
                val event =
                    if (check.isRefused) LogEvent.BACKEND_UNREACHABLE else LogEvent.BACKEND_SILENT
                losePath(world, tick, backend, event)
            }
        }
    }

    private fun checkUnreached(world: GatewayWorld, tick: GatewayTick) {
        if (world.unreachedServers.isEmpty()) return
        world.unreachedServers.removeIf { world.backends[it]?.unreachedSinceMs == null }
        val intervalMs = checkIntervalMs(world)
        for (id in world.unreachedServers) {
            val backend = world.backends[id] ?: continue
            checkHealth(world, tick, backend, intervalMs)
            tick.wakeAt(backend.checkedMs + intervalMs)
        }
    }
}

/** Sends nothing more to [backend], which [event] reports, until it answers again. */
internal fun losePath(world: GatewayWorld, tick: GatewayTick, backend: Backend, event: LogEvent) {
    if (backend.unreachedSinceMs != null) return
    backend.unreachedSinceMs = tick.nowMs
    world.unreachedServers += backend.id
    // Other VMs choose by what this one reaches.
    world.process.evidenceVersion++
    // While new connections are refused, open ones may still work.
    if (event == LogEvent.BACKEND_SILENT) tick.emit(CloseIdleConnections(backend.id))
    val heardMs = backend.life.lastHeardMs.takeIf { it != NEVER_MS }
    val details = mapOf("server" to backend.id, "silentMs" to heardMs?.let { tick.nowMs - it })
    tick.journal.log(event, details)
}

private fun regainPath(world: GatewayWorld, backend: Backend) {
    if (backend.unreachedSinceMs == null) return
    backend.unreachedSinceMs = null
    world.process.evidenceVersion++
}

/**
 * Whether [peer], of this region, reaches so much more of [service] than this VM that the difference
 * lies in their paths. Where this VM fails to reach no server, only their views differ.
 */
internal fun isBetterConnected(world: GatewayWorld, peer: Peer, service: ServiceId): Boolean {
    val hasUnreached =
        world.unreachedServers.any { world.backends[it]?.record?.service == service }
    val peerSlots = peer.services[service]?.reachedSlots ?: return false
    if (!hasUnreached || peerSlots == 0) return false
    val ownSlots = reachedServers(world, service).sumOf { it.record.slots }
    return peerSlots >= ownSlots * BETTER_PATH_FACTOR
}

/** Whether a neighbour is better connected, so that failures of [service] are those of the path. */
internal fun isStranded(world: GatewayWorld, service: ServiceId): Boolean =
    world.liveRegionPeers().any { isBetterConnected(world, it, service) }

/**
 * Servers of [service] that this VM reaches. Those that are cold, in doubt or at their limit count,
 * since a neighbour would send them no more.
 */
internal fun reachedServers(world: GatewayWorld, service: ServiceId): List<Backend> =
    world.backends.filter { it.record.service == service && isUsable(world, it) }
