/*
 * Finds prompt parts that crash the server that answers them, and keeps calls with such parts away
 * from servers. A call accuses the shared parts of its prompt when its answer had just begun and
 * its server then refuses connections. It does not matter whether the head or the first event was
 * cut. Calls that only waited at the server, answers that had gone on for a while, and servers that
 * leave or fall silent accuse nothing. An answer that outlasts its beginning at any VM clears a
 * part. VMs exchange the evidence in datagrams and each decides by itself.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent
import org.pomeloladder.decisions.hashKey

/** A crash that no refused connection confirms within this time is dropped. */
private const val CONFIRMATION_MS = 1_000L

/** Minimum time between two checks of one server; a refusal takes about one round trip. */
private const val CHECK_INTERVAL_MS = 100L

/** Evidence against a part that is not quarantined is kept for this long. */
private const val EVIDENCE_RETENTION_MS = 300_000L
private const val SCAN_INTERVAL_MS = 500L

/** Newest crashes kept for each part; more of them change no decision. */
private const val MAX_CRASHES = 6

/** Maximum number of suspect parts. A new one replaces the oldest that is not quarantined. */
private const val MAX_PARTS = 64

/** Maximum number of requests listed for one crash in log lines. */
private const val MAX_LISTED_REQUESTS = 4

/**
 * Subtracted from the time of an answer that another VM reports. It exceeds the delay of a
 * datagram, so that no time grows while VMs repeat it to each other.
 */
private const val REPORT_DELAY_MS = 300L

/** Reports that are older, or from the future, are malformed. */
private const val MAX_REPORT_AGE_MS = 24 * 60 * 60 * 1_000L

/** Maintains the table of suspect parts, and refuses or releases calls when its verdict changes. */
class QuarantineSystem(private val placer: CallPlacer, private val policy: QuarantinePolicy) :
    GatewaySystem {
    /** Sends whose answers have just begun, with the times of their first events. */
    private val beginnings = LinkedHashMap<SendId, Long>()
    private var lastScanMs = Long.MIN_VALUE / 2
    private var hasNewEvidence = false

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is AnswerStarted -> beginnings[event.send] = tick.nowMs
                is SendEnded -> onEnded(world, tick, event)
                is SendReplaced -> beginnings.remove(event.send)
                is HealthChecked -> onHealthChecked(world, tick, event)
                is GossipReceived -> event.message.evidence.forEach { merge(world, tick, it) }
                else -> Unit
            }
        }
        recordLastingAnswers(world, tick)
        if (tick.nowMs - lastScanMs >= SCAN_INTERVAL_MS) {
            lastScanMs = tick.nowMs
            expire(world, tick)
        }
        if (hasNewEvidence) {
            hasNewEvidence = false
            decide(world, tick)
        }
        sendHeldCalls(world, tick)
    }

    private fun recordLastingAnswers(world: GatewayWorld, tick: GatewayTick) {
        while (beginnings.isNotEmpty()) {
            val (send, beganMs) = beginnings.entries.first()
            if (tick.nowMs - beganMs <= BEGINNING_MS) return
            beginnings.remove(send)
            recordAnswer(world, tick, send)
        }
    }

    private fun onEnded(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        beginnings.remove(event.send)
        when (val outcome = event.outcome) {
            is SendOutcome.Answered ->
                if (outcome.status in SUCCESS) recordAnswer(world, tick, event.send)
            is SendOutcome.Broken -> if (wasLostAtBeginning(event)) accuse(world, tick, event)
            is SendOutcome.NotRun, SendOutcome.Cancelled -> Unit
        }
    }

    private fun recordAnswer(world: GatewayWorld, tick: GatewayTick, id: SendId) {
        val call = world.sends[id]?.let { world.calls[it.call] } ?: return
        for (part in call.spec.prompt?.sharedParts.orEmpty()) {
            val suspect = world.suspectParts[part.id]
            val clears = suspect != null && openCrashes(suspect, world.answeredParts).isNotEmpty()
            world.answeredParts.record(part.id, tick.nowMs)
            if (suspect != null && clears) markChanged(world, tick, suspect, isUrgent = true)
        }
    }

    private fun accuse(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        val send = world.sends[event.send] ?: return
        val call = world.calls[send.call] ?: return
        val place = send.place as? SendPlace.AtServer ?: return
        val backend = world.backends[place.server] ?: return
        val isEnding = isLeaving(backend) || backend.missingSinceMs != null
        val parts = call.spec.prompt?.sharedParts.orEmpty()
        if (parts.isEmpty() || isEnding) return
        val id = crashOf(backend)
        val isConfirmed = world.suspectParts.any { it.crashes[id]?.isConfirmed == true }
        for (part in parts) {
            val suspect = suspectFor(world, part.id)
            val crash = suspect.crashes.getOrPut(id) { Crash(tick.nowMs, isConfirmed) }
            if (crash.requests.size < MAX_LISTED_REQUESTS) crash.requests += call.spec.requestId
            if (isConfirmed) markChanged(world, tick, suspect, isUrgent = true)
        }
        if (!isConfirmed) checkHealth(world, tick, backend, CHECK_INTERVAL_MS)
    }

    private fun onHealthChecked(world: GatewayWorld, tick: GatewayTick, check: HealthChecked) {
        val backend = world.backends[check.server] ?: return
        val id = crashOf(backend)
        val accused = world.suspectParts.filter { it.crashes[id]?.isConfirmed == false }
        if (accused.isEmpty()) return
        if (!check.isRefused) {
            accused.forEach { it.crashes.remove(id) }
            return
        }
        val requests = accused.flatMap { it.crashes.getValue(id).requests }.distinct()
        for (part in accused) {
            part.crashes.getValue(id).isConfirmed = true
            dropOldCrashes(part)
            markChanged(world, tick, part, isUrgent = true)
        }
        tick.journal.count(Counter.QUARANTINE, "crash")
        val details = mapOf(
            "server" to backend.id,
            "crash" to id,
            "parts" to accused.joinToString(" ") { it.id.toString() },
            "requests" to requests.joinToString(" "),
        )
        tick.journal.log(LogEvent.BACKEND_CRASHED, details)
    }

    /** Adds what another VM knows. Merging is idempotent and the order does not matter. */
    private fun merge(world: GatewayWorld, tick: GatewayTick, evidence: PartEvidence) {
        val reports = evidence.crashes.filter { it.ageMs in 0..MAX_REPORT_AGE_MS }
        if (reports.isEmpty()) return
        val suspect = suspectFor(world, evidence.part)
        var isNews = reports.count { mergeCrash(suspect, it.crash, tick.nowMs - it.ageMs) } > 0
        val probes = evidence.probes.coerceAtMost(MAX_PROBES)
        if (probes > suspect.probes) {
            suspect.probes = probes
            isNews = true
        }
        val answeredAgeMs = evidence.answeredAgeMs?.takeIf { it in 0..MAX_REPORT_AGE_MS }
        val isObjection = answeredAgeMs == null && world.answeredParts.lastMs(suspect.id) != null
        if (answeredAgeMs != null) {
            val answeredMs = tick.nowMs - answeredAgeMs - REPORT_DELAY_MS
            if (world.answeredParts.record(suspect.id, answeredMs)) isNews = true
        }
        if (isNews || isObjection) markChanged(world, tick, suspect, isUrgent = isObjection)
    }

    /** Returns whether the crash was not known as confirmed. */
    private fun mergeCrash(part: SuspectPart, id: CrashId, atMs: Long): Boolean {
        val known = part.crashes[id]
        if (known == null) {
            val oldestMs = part.crashes.values.minOfOrNull { it.atMs }
            if (part.crashes.size >= MAX_CRASHES &&
                oldestMs != null &&
                atMs <= oldestMs
            ) {
                return false
            }
            part.crashes[id] = Crash(atMs, isConfirmed = true)
            dropOldCrashes(part)
            return true
        }
        // The earliest report has travelled least.
        known.atMs = minOf(known.atMs, atMs)
        return !known.isConfirmed.also { known.isConfirmed = true }
    }

    private fun suspectFor(world: GatewayWorld, id: PartId): SuspectPart {
        val known = world.suspectParts[id]
        if (known != null) return known
        if (world.suspectParts.size >= MAX_PARTS) {
            val oldest =
                world.suspectParts.filterNot { it.isQuarantined }.minByOrNull { it.changedMs }
                    ?: world.suspectParts.minBy { it.changedMs }
            world.suspectParts.remove(oldest.id)
        }
        return SuspectPart(id).also { world.suspectParts[id] = it }
    }

    private fun dropOldCrashes(part: SuspectPart) {
        while (part.crashes.size > MAX_CRASHES) {
            part.crashes.remove(part.crashes.minBy { it.value.atMs }.key)
        }
    }

    /** Other VMs hear of a change with the next datagram, or at once if it [isUrgent]. */
    private fun markChanged(
        world: GatewayWorld,
        tick: GatewayTick,
        part: SuspectPart,
        isUrgent: Boolean,
    ) {
        part.changedMs = tick.nowMs
        if (isUrgent) world.process.evidenceVersion++
        hasNewEvidence = true
    }

    private fun expire(world: GatewayWorld, tick: GatewayTick) {
        if (world.suspectParts.size == 0) return
        for (part in world.suspectParts) {
            part.crashes.values.removeIf {
                val maxAgeMs = if (it.isConfirmed) EVIDENCE_RETENTION_MS else CONFIRMATION_MS
                !part.isQuarantined && tick.nowMs - it.atMs > maxAgeMs
            }
        }
        world.suspectParts.removeIf { it.crashes.isEmpty() }
    }

    private fun decide(world: GatewayWorld, tick: GatewayTick) {
        val groups = policy.select(world.suspectParts, world.answeredParts)
        for (part in world.suspectParts) {
            val before = part.quarantine
            part.quarantine = groups.firstOrNull { part.id in it }.orEmpty()
            if (part.quarantine == before) continue
            val event =
                if (part.isQuarantined) LogEvent.PART_QUARANTINED else LogEvent.PART_RELEASED
            tick.journal.log(event, verdictDetails(part, tick.nowMs))
            val reason = if (part.isQuarantined) "quarantined" else "released"
            tick.journal.count(Counter.QUARANTINE, reason)
            if (part.isQuarantined) stopCalls(world, tick, part)
        }
    }

    private fun verdictDetails(part: SuspectPart, nowMs: Long) = mapOf(
        "part" to part.id,
        "group" to part.quarantine.joinToString(" "),
        "crashes" to part.crashes.keys.joinToString(" "),
        "requests" to part.crashes.values.flatMap { it.requests }.distinct().joinToString(" "),
        "probeInMs" to policy.probeAtMs(part) - nowMs,
    )

    /** Ends the calls with [part] that no server answers yet: each would crash its server. */
    private fun stopCalls(world: GatewayWorld, tick: GatewayTick, part: SuspectPart) {
        val waiting = world.calls.filter { call ->
            !isBeingAnswered(world, call) && quarantinedParts(world, call).any { it.id == part.id }
        }
        for (call in waiting) {
            world.heldCalls.remove(call.id)
            placer.abandon(world, tick, call, CallRefusal.QUARANTINED)
        }
    }

    private fun isBeingAnswered(world: GatewayWorld, call: Call): Boolean =
        call.currentSend?.let { world.sends[it] }?.isStarted == true

    /** Sends held calls again whose parts were answered meanwhile, or that have waited enough. */
    private fun sendHeldCalls(world: GatewayWorld, tick: GatewayTick) {
        if (world.heldCalls.isEmpty()) return
        for (id in world.heldCalls.toList()) {
            val call = world.calls[id]
            val heldUntilMs = call?.heldUntilMs
            if (call == null || heldUntilMs == null) {
                world.heldCalls.remove(id)
            } else if (tick.nowMs >= heldUntilMs || isProven(world, call)) {
                world.heldCalls.remove(id)
                call.heldUntilMs = null
                placer.place(world, tick, call)
            } else {
                tick.wakeAt(heldUntilMs)
            }
        }
    }

    private companion object {
        val SUCCESS = 200..299
        const val MAX_PROBES = 30
    }
}

/** Returns the id that all VMs give to a crash of the current incarnation of [backend]. */
private fun crashOf(backend: Backend) =
    CrashId(hashKey("${backend.id.value}@${backend.record.startedAtUnixMs}"))
