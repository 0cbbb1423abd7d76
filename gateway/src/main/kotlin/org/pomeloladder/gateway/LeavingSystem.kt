/*
 * Learns that a backend server leaves from the server itself, which says so in all its answers. The
 * store tells of that late, not at all while it is silent, or takes it back when it comes back from
 * an older copy. So the word of the server holds for its life, whatever the store says. The VMs of a
 * region tell each other, so that not each of them has to ask the server with a call.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/**
 * Subtracted from the time that another VM reports. It exceeds the delay of a datagram, so that no
 * word of an earlier life is taken for one of the life that has begun since.
 */
private const val REPORT_DELAY_MS = 250L

/** Maximum number of servers in one datagram. */
private const val MAX_REPORTS = 16

/** Records which servers have said that they leave, and logs headers that can't be read. */
class LeavingSystem : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is LeavingAnnounced -> {
                    val askedMs = tick.nowMs - event.requestAgeMs
                    world.backends[event.server]?.let { onAnswer(world, tick, it, askedMs) }
                }
                is HealthChecked -> onHealthChecked(world, tick, event)
                is HeaderUnreadable -> onUnreadable(world, tick, event)
                is GossipReceived -> event.message.leaving.forEach { merge(world, tick, it) }
                else -> Unit
            }
        }
    }

    private fun onAnswer(world: GatewayWorld, tick: GatewayTick, backend: Backend, askedMs: Long) {
        if (askedMs >= backend.life.learnedMs) {
            record(world, tick, backend, tick.nowMs, by = "answer")
        } else {
            // The answer may be of the life before; a new one tells.
            checkHealth(world, tick, backend, minIntervalMs = 0)
        }
    }

    private fun onHealthChecked(world: GatewayWorld, tick: GatewayTick, check: HealthChecked) {
        val backend = world.backends[check.server] ?: return
        if (check.coldForMs == null || check.askedMs < backend.life.learnedMs) return
        val earlierMs = backend.life.maybeLeavingSinceMs
        if (check.isLeaving) record(world, tick, backend, earlierMs ?: tick.nowMs, by = "check")
        backend.life.maybeLeavingSinceMs = null
    }

    private fun merge(world: GatewayWorld, tick: GatewayTick, report: LeavingReport) {
        val backend = world.backends[report.server] ?: return
        if (report.startedAtUnixMs != backend.record.startedAtUnixMs) return
        val sinceMs = tick.nowMs - report.ageMs.coerceAtLeast(0)
        if (sinceMs - REPORT_DELAY_MS < backend.life.learnedMs) return
        record(world, tick, backend, sinceMs, by = "peer")
    }

    private fun record(
        world: GatewayWorld,
        tick: GatewayTick,
        backend: Backend,
        sinceMs: Long,
        by: String,
    ) {
        val knownMs = backend.life.leavingSinceMs
        backend.life.leavingSinceMs = minOf(knownMs ?: sinceMs, sinceMs)
        if (knownMs != null) return
        world.process.evidenceVersion++
        tick.emit(CloseIdleConnections(backend.id))
        tick.journal.log(LogEvent.BACKEND_SAID_LEAVING, mapOf("server" to backend.id, "by" to by))
    }

    private fun onUnreadable(world: GatewayWorld, tick: GatewayTick, event: HeaderUnreadable) {
        val backend = world.backends[event.server] ?: return
        if (backend.life.hasUnreadableHeader) return
        backend.life.hasUnreadableHeader = true
        val details = mapOf("server" to backend.id, "header" to event.header)
        tick.journal.log(LogEvent.BACKEND_HEADER_UNREADABLE, details)
    }
}

/** Returns what datagrams to the VMs of this region tell of servers that leave. */
internal fun leavingReports(world: GatewayWorld, tick: GatewayTick): List<LeavingReport> =
    world.backends.filter { it.life.leavingSinceMs != null }
        // A random choice tells all of them within a few datagrams.
        .shuffled(tick.random)
        .take(MAX_REPORTS)
        .map {
            LeavingReport(
                server = it.id,
                startedAtUnixMs = it.record.startedAtUnixMs,
                ageMs = tick.nowMs - (it.life.leavingSinceMs ?: tick.nowMs),
            )
        }
