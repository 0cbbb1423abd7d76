/*
 * Chooses the engine from which another one copies the shared parts of a prompt that it lacks. A
 * copy takes a few milliseconds and pauses no answers, while processing the parts again takes a
 * tenth of a second of the engine's time.
 */
package org.pomeloladder.gateway

/**
 * An engine that has cached the shared parts of a prompt; copying [tokens] of them takes [copyMs].
 */
class PartSource(val holder: Backend, val tokens: Int, val copyMs: Double)

/** Fewer tokens are processed in about the time that it takes to set up a copy. */
private const val MIN_COPIED_TOKENS = 1_000

/**
 * Minimum ratio of processing time to copy time. It exceeds 1 because the source may have dropped
 * the parts meanwhile.
 */
private const val MIN_SPEEDUP = 2.0

/** Copies between failure domains take twice as long. */
private const val CROSS_DOMAIN_FACTOR = 2.0

/** An engine that was silent for this long may be gone, and a copy from it would wait in vain. */
private const val MAX_SOURCE_SILENCE_MS = 1_500L

private const val BITS_PER_BYTE = 8
private const val BITS_PER_MS_OF_MBPS = 1_000.0

/**
 * Returns the fastest source of the shared parts of [call]'s prompt for [backend], or null when
 * [backend] processes them itself.
 */
internal fun partSource(
    world: GatewayWorld,
    call: Call,
    backend: Backend,
    nowMs: Long,
): PartSource? {
    val engine = world.catalog?.service(call.service)?.engine ?: return null
    if (engine.kvLinkMbps <= 0) return null
    val shared = call.spec.prompt?.sharedParts.orEmpty()
    val sharedTokens = shared.sumOf { it.tokens }
    val missingTokens = sharedTokens - backend.life.cache.cachedTokens(shared)
    if (missingTokens < MIN_COPIED_TOKENS) return null
    val sameDomainCopyMs = missingTokens * engine.kvBytesPerToken * BITS_PER_BYTE /
        (engine.kvLinkMbps * BITS_PER_MS_OF_MBPS)
    val prefillMs = missingTokens * world.service(call.service).msPerPromptToken
    return world.backends
        .filter { it !== backend && it.record.service == call.service }
        .filter { it.life.cache.cachedTokens(shared) == sharedTokens && isSource(world, it, nowMs) }
        .map { PartSource(it, missingTokens, sameDomainCopyMs * copyTimeFactor(it, backend)) }
        .filter { it.copyMs * MIN_SPEEDUP < prefillMs }
        .minByOrNull { it.copyMs }
}

private fun copyTimeFactor(a: Backend, b: Backend) =
    if (a.record.domain == b.record.domain) 1.0 else CROSS_DOMAIN_FACTOR

private fun isSource(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    val isResponsive =
        nowMs - backend.life.lastHeardMs < MAX_SOURCE_SILENCE_MS ||
            backend.life.gapEstimator.gapMs(nowMs) > 0
    return isResponsive && backend.missingSinceMs == null && isUsable(world, backend)
}
