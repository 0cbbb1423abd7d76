/*
 * Finds out whether a backend server has started again under its id. Its entry tells of that late,
 * or not at all while the platform is silent, and a server that is cold must not get the calls of a
 * warm one. A lost or refused connection, idle ones included, a health check without an answer and a
 * call without recent contact put the life of a server in doubt. It counts as cold then, and gets
 * nothing once it has refused a connection, until a health check shows what it is. The VMs of a
 * region tell each other of refused connections and of what health checks showed, since a VM
 * without a call at a server notices nothing of its restart.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/** Interval of the health checks of a server in doubt, by each VM of a small region. */
private const val CHECK_INTERVAL_MS = 250L

/** Minimum time between two checks of a server that comes into doubt again and again. */
private const val MIN_CHECK_INTERVAL_MS = 50L

/** After a longer time without contact, a server without calls may have started again unnoticed. */
private const val CONTACT_VALID_MS = 500L

/** Number of VMs that check a server at [CHECK_INTERVAL_MS]. More of them check it less often. */
private const val FREQUENT_CHECKERS = 5
private const val MAX_CHECK_INTERVAL_MS = 1_000L

/**
 * Subtracted from the time of a proof that another VM reports. It exceeds the delay of a datagram,
 * so that no doubt that came after the proof ends by it.
 */
private const val REPORT_DELAY_MS = 250L

/** Time for which news of a server is told, and the maximum number of servers in one datagram. */
private const val REPORT_MS = 10_000L
private const val MAX_REPORTS = 16

/**
 * Reasons to doubt that a backend server still lives the life that is known, first seen at
 * [sinceMs]. [isRefused] tells whether it, or its host, has refused a connection: nothing listened
 * then, so that the life has ended.
 */
class LifeDoubt(val sinceMs: Long, val isRefused: Boolean) {
    /** Whether a health check has been sent since the doubt arose or grew. */
    var isChecked = false
}

/** Doubts the lives of servers, checks them, and tells the VMs of the region. */
class RestartSystem : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is SendNotWritten -> onNotWritten(world, tick, event)
                is SendEnded -> onEnded(world, tick, event)
                is IdleConnectionLost -> onIdleConnectionLost(world, tick, event)
                is HealthChecked -> onHealthChecked(world, tick, event)
                is GossipReceived -> event.message.restarts.forEach { merge(world, tick, it) }
                else -> Unit
            }
        }
        checkDoubted(world, tick)
    }

    private fun onNotWritten(world: GatewayWorld, tick: GatewayTick, event: SendNotWritten) {
        if (event.reason != NotWrittenReason.CONNECT_FAILED) return
        val backend = world.serverOf(event.send) ?: return
        doubt(world, tick, backend, event.isRefused, if (event.isRefused) "refused" else "timeout")
    }

    private fun onEnded(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        val reason = (event.outcome as? SendOutcome.Broken)?.reason
        if (reason != BreakReason.CONNECTION_LOST && reason != BreakReason.TRUNCATED) return
        val backend = world.serverOf(event.send) ?: return
        doubt(world, tick, backend, isRefused = false, reason.name.lowercase())
    }

    private fun onIdleConnectionLost(
        world: GatewayWorld,
        tick: GatewayTick,
        event: IdleConnectionLost,
    ) {
        val backend = world.backends[event.server] ?: return
        doubt(world, tick, backend, isRefused = false, "idle connection")
    }

    private fun onHealthChecked(world: GatewayWorld, tick: GatewayTick, check: HealthChecked) {
        val backend = world.backends[check.server] ?: return
        if (check.askedMs < backend.provenMs) return
        val coldForMs = check.coldForMs
        if (coldForMs == null) {
            // A full server may keep a check waiting while it answers calls.
            val isHeard = backend.life.lastHeardMs >= check.askedMs
            if (isHeard && !check.isRefused) return
            world.process.hasLifeEvidence = true
            return doubt(world, tick, backend, check.isRefused, "health check")
        }
        // A rejected check names no cold time, so it does not show that the server is warm.
        if (!check.isHealthy && coldForMs <= 0) return
        val doubt = backend.doubt ?: return
        if (check.askedMs >= doubt.sinceMs) prove(world, tick, backend, coldForMs, by = "check")
    }

    /** Takes over what a peer has observed since this process last learned of the server's life. */
    private fun merge(world: GatewayWorld, tick: GatewayTick, report: RestartReport) {
        val backend = world.backends[report.server] ?: return
        val refusedMs = report.refusedAgeMs?.let { tick.nowMs - it.coerceAtLeast(0) }
        val provenMs = report.provenAgeMs?.let { tick.nowMs - it.coerceAtLeast(0) }
        // Without a refusal only the proof tells that the server has started again.
        val isSurprise = report.coldForMs > 0 && tick.nowMs >= backend.life.coldUntilMs
        val restartedMs = refusedMs ?: provenMs.takeIf { isSurprise }
        if (restartedMs != null && restartedMs > backend.provenMs && backend.doubt == null) {
            doubt(world, tick, backend, isRefused = false, "peer", restartedMs)
        }
        val sinceMs = backend.doubt?.sinceMs ?: return
        if (provenMs != null && provenMs - REPORT_DELAY_MS > sinceMs) {
            prove(world, tick, backend, report.coldForMs, by = "peer")
        }
    }

    /** Records that the server was seen to be cold for [coldForMs] more, or warm if that is 0. */
    private fun prove(
        world: GatewayWorld,
        tick: GatewayTick,
        backend: Backend,
        coldForMs: Long,
        by: String,
    ) {
        val doubt = backend.doubt ?: return
        val isNewLife =
            !doubt.isRefused && coldForMs > 0 && tick.nowMs >= backend.life.coldUntilMs
        if (isNewLife) backend.life = ServerLife(tick.nowMs)
        backend.life.coldUntilMs = maxOf(backend.life.coldUntilMs, tick.nowMs + coldForMs)
        backend.endDoubt(tick.nowMs)
        world.process.hasLifeEvidence = true
        world.doubtedServers -= backend.id
        if (doubt.isRefused || coldForMs > 0) world.process.evidenceVersion++
        val details = mapOf(
            "server" to backend.id,
            "coldForMs" to coldForMs,
            "doubtMs" to tick.nowMs - doubt.sinceMs,
            "by" to by,
        )
        tick.journal.log(LogEvent.BACKEND_PROVEN, details)
    }

    private fun checkDoubted(world: GatewayWorld, tick: GatewayTick) {
        if (world.doubtedServers.isEmpty()) return
        val intervalMs = checkIntervalMs(world)
        world.doubtedServers.removeIf { world.backends[it]?.doubt == null }
        for (id in world.doubtedServers) {
            val backend = world.backends[id] ?: continue
            // A check before the doubt says nothing of it.
            val isChecked = backend.doubt?.isChecked == true
            checkDoubt(world, tick, backend, if (isChecked) intervalMs else MIN_CHECK_INTERVAL_MS)
        }
    }
}

/**
 * Doubts the life of [backend] before a call is sent to it if this process has not been in contact
 * with it for some time, or never was: nobody may have noticed a restart since.
 */
internal fun doubtWithoutContact(world: GatewayWorld, tick: GatewayTick, backend: Backend) {
    val contactMs = maxOf(backend.life.lastHeardMs, backend.provenMs)
    if (backend.inFlight > 0 || tick.nowMs - contactMs <= CONTACT_VALID_MS) return
    doubt(world, tick, backend, isRefused = false, "no contact")
    checkDoubt(world, tick, backend, MIN_CHECK_INTERVAL_MS)
}

/** Interval at which this VM checks a server that has shown no sign of life. */
internal fun checkIntervalMs(world: GatewayWorld): Long {
    val vms = world.liveRegionPeers().size + 1
    return (CHECK_INTERVAL_MS * maxOf(1, vms / FREQUENT_CHECKERS))
        .coerceAtMost(MAX_CHECK_INTERVAL_MS)
}

/** Checks [backend] if it is in doubt, [minIntervalMs] after its last check at the earliest. */
private fun checkDoubt(
    world: GatewayWorld,
    tick: GatewayTick,
    backend: Backend,
    minIntervalMs: Long,
) {
    val doubt = backend.doubt ?: return
    if (checkHealth(world, tick, backend, minIntervalMs)) doubt.isChecked = true
    tick.wakeAt(backend.checkedMs + minIntervalMs)
}

private fun doubt(
    world: GatewayWorld,
    tick: GatewayTick,
    backend: Backend,
    isRefused: Boolean,
    cause: String,
    sinceMs: Long = tick.nowMs,
) {
    // Without a limit for cold servers there is nothing to protect.
    val service = world.catalog?.service(backend.record.service) ?: return
    if (service.coldRequestsPerS <= 0) return
    val known = backend.doubt
    if (known == null) {
        backend.doubt = LifeDoubt(sinceMs, isRefused = false)
        world.doubtedServers += backend.id
        val details = mapOf("server" to backend.id, "cause" to cause)
        tick.journal.log(LogEvent.BACKEND_DOUBTED, details)
    }
    if (isRefused && known?.isRefused != true) {
        backend.doubt = LifeDoubt(tick.nowMs, isRefused = true)
        backend.refusedMs = tick.nowMs
        backend.life = ServerLife(tick.nowMs)
        world.process.evidenceVersion++
    }
}

/**
 * Sends a health check to [backend], unless one was sent less than [minIntervalMs] ago. Returns
 * whether it did.
 */
internal fun checkHealth(
    world: GatewayWorld,
    tick: GatewayTick,
    backend: Backend,
    minIntervalMs: Long,
): Boolean {
    if (tick.nowMs - backend.checkedMs < minIntervalMs) return false
    val service = world.catalog?.service(backend.record.service) ?: return false
    backend.checkedMs = tick.nowMs
    tick.emit(CheckHealth(backend.id, backend.record.address, service.healthPath, tick.nowMs))
    return true
}

/** Returns what datagrams to the VMs of this region tell of restarts. */
internal fun restartReports(world: GatewayWorld, tick: GatewayTick): List<RestartReport> {
    val nowMs = tick.nowMs
    val restarted = world.backends.filter { hasRestartNews(world, it, nowMs) }
    // A random choice tells all of them within a few datagrams.
    return restarted.shuffled(tick.random).take(MAX_REPORTS).map { backend ->
        RestartReport(
            server = backend.id,
            refusedAgeMs = (nowMs - backend.refusedMs).takeIf { it < REPORT_MS },
            provenAgeMs = if (backend.doubt == null) nowMs - backend.provenMs else null,
            coldForMs = (backend.life.coldUntilMs - nowMs).coerceAtLeast(0),
        )
    }
}

/** News of a restart, except for connections that were refused on a path of this VM alone. */
private fun hasRestartNews(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    if (backend.doubt != null && isStranded(world, backend.record.service)) return false
    val isProvenCold = backend.doubt == null &&
        nowMs < backend.life.coldUntilMs &&
        nowMs - backend.provenMs < REPORT_MS
    return nowMs - backend.refusedMs < REPORT_MS || isProvenCold
}
