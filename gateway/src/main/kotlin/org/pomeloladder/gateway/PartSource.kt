/*
 * From which engine another one copies the shared parts of a prompt that it lacks. A copy takes a few milliseconds and
 * holds up no answers, while reading the parts again takes a tenth of a second of the engine's time.
 */
package org.pomeloladder.gateway

/** An engine that keeps the shared parts of a prompt; copying [tokens] of them takes [copyMs]. */
class PartSource(val from: Backend, val tokens: Int, val copyMs: Double)

/** Fewer tokens are read nearly as soon as a copy is set up. */
private const val LEAST_COPIED_TOKENS = 1_000

/** A copy must be quicker than reading by this, since the source may have dropped the parts meanwhile. */
private const val LEAST_SPEED_UP = 2.0

/** Between failure domains a copy takes twice as long. */
private const val DOMAIN_FACTOR = 2.0

/** An engine of which nothing was heard for this long may be gone, and a copy from it would wait in vain. */
private const val HEARD_MS = 1_500L

private const val BITS_PER_BYTE = 8
private const val BITS_PER_MS_OF_MBPS = 1_000.0

/** The best source of the shared parts of [call]'s prompt for [backend]; null when it reads them itself. */
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
    val missing = sharedTokens - backend.cache.cachedTokens(shared)
    if (missing < LEAST_COPIED_TOKENS) return null
    val nearMs = missing * engine.kvBytesPerToken * BITS_PER_BYTE /
        (engine.kvLinkMbps * BITS_PER_MS_OF_MBPS)
    val readMs = missing * world.service(call.service).msPerPromptToken
    return world.backends
        .filter { it !== backend && it.record.service == call.service }
        .filter { it.cache.cachedTokens(shared) == sharedTokens && isSource(world, it, nowMs) }
        .map { PartSource(it, missing, nearMs * distance(it, backend)) }
        .filter { it.copyMs * LEAST_SPEED_UP < readMs }
        .minByOrNull { it.copyMs }
}

private fun distance(a: Backend, b: Backend) =
    if (a.record.domain == b.record.domain) 1.0 else DOMAIN_FACTOR

private fun isSource(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    val isHeard = nowMs - backend.lastHeardMs < HEARD_MS || backend.gapEstimator.gapMs(nowMs) > 0
    return isHeard && backend.missingSinceMs == null && isUsable(world, backend, nowMs)
}
