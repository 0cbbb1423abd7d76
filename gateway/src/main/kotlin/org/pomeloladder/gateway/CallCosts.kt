/*
 * What placing a call at a server costs its caller and the other calls there, in milliseconds of waiting. Placement
 * compares these figures; none of them is a promise.
 */
package org.pomeloladder.gateway

/** Parts of the cost of a place. */
internal object CallCosts {
    /** Prompt of the summary that other regions compare with. */
    const val TYPICAL_PROMPT_TOKENS = 1_000

    /** A delay of the whole answer weighs less than one of its first event. */
    private const val ANSWER_SLOWDOWN_WEIGHT = 0.08

    /** Weight of a pause in each running answer; together they count for more than the delay of one first event. */
    private const val PROMPT_PAUSE_WEIGHT = 0.3

    /** Time for which recent prompt tokens stand. */
    private const val RECENT_PROMPT_WINDOW_S = 2.0
    private const val MS_PER_S = 1_000.0

    /** Order of magnitude of a batch step. */
    private const val MS_PER_OUTPUT_TOKEN = 8.0

    /** Weight of the time that an answer takes after its first event, while it ends well within its limit. */
    private const val ANSWER_WEIGHT = 0.2

    /** Part of the time left that an expected answer may take: estimates of its length are often far off. */
    private const val SAFE_TIME_FRACTION = 0.5

    /** Weight of the rendezvous choice against a server that is known to have the parts. */
    private const val PREFERRED_CACHE_FRACTION = 0.8

    /** Reading shared parts again also holds up the other calls of a batch, beside the call itself. */
    private const val CACHE_WEIGHT = 1.5

    /** Weight of failures for calls that cannot be repeated. */
    private const val UNSAFE_FAILURE_WEIGHT = 4.0

    /** What a full batch adds for all of its calls: steps take about three times as long as in an empty one. */
    private const val FULL_BATCH_MS = 400.0

    /** Part of a plain call's time that each busy place adds. */
    private const val PLAIN_LOAD_FACTOR = 0.2

    /** Used until calls were seen to end. */
    private const val MIN_CALL_MS = 20.0

    /**
     * What the time for the events after the first one weighs. It counts little while the answer can be finished, and
     * in full where it comes close to the caller's time limit, since most of a long answer is lost then.
     */
    fun answerDelayMs(call: Call, state: ServiceState, eventGapMs: Double, nowMs: Long): Double {
        val tokens = call.spec.prompt?.outputTokens ?: return 0.0
        val answerMs = state.answerLengths.expectedEvents(tokens) * eventGapMs
        val excessMs = answerMs - call.remainingMs(nowMs) * SAFE_TIME_FRACTION
        return answerMs * ANSWER_WEIGHT + excessMs.coerceAtLeast(0.0)
    }

    /**
     * What this call and the others of [backend] do to each other: a long answer is held up by the prompts that arrive
     * while it is made, and a prompt holds up every running answer.
     */
    fun interferenceMs(
        backend: Backend,
        prompt: Prompt,
        uncachedTokens: Int,
        state: ServiceState,
    ): Double {
        val recentTokens = backend.recentPromptTokens + backend.peerRecentPromptTokens
        val prefillMsPerS = recentTokens * state.msPerPromptToken / RECENT_PROMPT_WINDOW_S
        val prefillFraction = (prefillMsPerS / MS_PER_S).coerceAtMost(1.0)
        val answerSlowdownMs = prefillFraction * prompt.outputTokens * MS_PER_OUTPUT_TOKEN
        val promptPauseMs = uncachedTokens * state.msPerPromptToken * backend.load
        return ANSWER_SLOWDOWN_WEIGHT * answerSlowdownMs + PROMPT_PAUSE_WEIGHT * promptPauseMs
    }

    /** What the prompt of [call] does to the answers of an engine with the mean load of another region. */
    fun remoteInterferenceMs(world: GatewayWorld, call: Call, load: ServiceLoad): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val slots = world.catalog?.service(call.service)?.engine?.slots ?: return 0.0
        val running = slots.toDouble() * load.inUse / load.places
        return PROMPT_PAUSE_WEIGHT * tokens * world.service(call.service).msPerPromptToken * running
    }

    /**
     * What is gained by the shared tokens that [backend] has, or would get if every process chose the same servers for
     * them, as [isPreferred] tells.
     */
    fun cacheSavingMs(
        shared: List<PromptPart>,
        backend: Backend,
        isPreferred: Boolean,
        state: ServiceState,
    ): Double {
        val cachedTokenCount = backend.cache.cachedTokens(shared).toDouble()
        val countedTokens = if (isPreferred) {
            maxOf(cachedTokenCount, shared.sumOf { it.tokens } * PREFERRED_CACHE_FRACTION)
        } else {
            cachedTokenCount
        }
        return countedTokens * state.msPerPromptToken * CACHE_WEIGHT
    }

    /** What the prompt takes beyond the typical one of the summary, since another region's caches may lack all of it. */
    fun remoteExtraPromptMs(world: GatewayWorld, call: Call): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val extraTokens = (tokens - TYPICAL_PROMPT_TOKENS).coerceAtLeast(0)
        return extraTokens * world.service(call.service).msPerPromptToken
    }

    /**
     * Expected time to the first event at an engine of another region that keeps the shared parts of [call], beside the
     * way there: the wait at a server that is not chosen by its load, and the own part of the prompt. [relayedCalls] are
     * not in the figures of [load] yet.
     */
    fun remoteOwnerWaitMs(
        world: GatewayWorld,
        call: Call,
        load: ServiceLoad,
        relayedCalls: Int,
    ): Double {
        val prompt = call.spec.prompt ?: return load.meanWaitMs.toDouble()
        val state = world.service(call.service)
        val slots = world.catalog?.service(call.service)?.engine?.slots?.coerceAtLeast(1) ?: 1
        val ownTokens = prompt.promptTokens - prompt.sharedParts.sumOf { it.tokens }
        val ownPrefillMs = ownTokens * state.msPerPromptToken
        val engines = (load.places / slots).coerceAtLeast(1)
        val typicalMs = TYPICAL_PROMPT_TOKENS * state.msPerPromptToken
        return load.meanWaitMs - typicalMs + ownPrefillMs * (1 + relayedCalls.toDouble() / engines)
    }

    /** Prompt tokens that [backend] has to read. */
    fun uncachedTokens(prompt: Prompt?, backend: Backend): Int {
        if (prompt == null) return 0
        return prompt.promptTokens - backend.cache.cachedTokens(prompt.parts)
    }

    /**
     * Expected time in milliseconds until [backend] gives the first event of a call of [priority] with [tokens] uncached
     * tokens.
     */
    fun firstEventMs(
        backend: Backend,
        state: ServiceState,
        tokens: Int,
        priority: Int,
        isEngine: Boolean,
        nowMs: Long,
    ): Double {
        val slots = backend.record.slots.coerceAtLeast(1)
        val report = backend.freshReport(nowMs)
        val load = maxOf(backend.load, reportedLoad(report))
        val slowdown = report?.slowdown ?: 1.0
        val waiting = (load + 1 - slots).coerceAtLeast(0)
        val callMs = state.meanCallMs.coerceAtLeast(MIN_CALL_MS)
        val queueMs = waiting * callMs / slots
        if (!isEngine) {
            val loadMs = callMs * load / slots * PLAIN_LOAD_FACTOR
            return slowdown * (callMs + queueMs + loadMs)
        }
        val prefillMs = (tokens + backend.tokensAhead(priority)) * state.msPerPromptToken
        val utilization = load.toDouble() / slots
        return slowdown * (prefillMs + FULL_BATCH_MS * utilization * utilization + queueMs)
    }

    private fun reportedLoad(report: LoadReport?): Int =
        if (report != null && report.waiting > 0) report.running + report.waiting else 0

    /** What a failure of [call] at a server costs. */
    fun failureCostMs(call: Call): Double =
        call.route.objectiveMs * if (call.route.isRepeatable) 1.0 else UNSAFE_FAILURE_WEIGHT
}
