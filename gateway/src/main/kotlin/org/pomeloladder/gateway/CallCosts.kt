/*
 * Estimates what placing a call at a server costs its caller and the other calls there, in
 * milliseconds of waiting. Placement compares these estimates; none of them is a guarantee.
 */
package org.pomeloladder.gateway

/** Terms of the cost of a placement. */
internal object CallCosts {
    /** Prompt size for which [ServiceLoad] states its waits, so that regions can be compared. */
    const val TYPICAL_PROMPT_TOKENS = 1_000

    /** Weight of the slowdown of the call's own answer; a late first event matters more. */
    private const val ANSWER_SLOWDOWN_WEIGHT = 0.08

    /**
     * Weight of the pause that a prompt causes in each running answer. The pauses of several
     * answers together outweigh an equal delay of one first event.
     */
    private const val PROMPT_PAUSE_WEIGHT = 0.3

    /** Time window that the count of recent prompt tokens covers. */
    private const val RECENT_PROMPT_WINDOW_S = 2.0
    private const val MS_PER_S = 1_000.0

    /** Order of magnitude of one step of a batch, which yields one token for each answer. */
    private const val MS_PER_OUTPUT_TOKEN = 8.0

    /**
     * Weight of the time after the first event, while the answer ends well within its time limit.
     */
    private const val ANSWER_WEIGHT = 0.2

    /**
     * Fraction of the remaining time that an answer may take at the low weight; estimates of its
     * length are often far off.
     */
    private const val SAFE_TIME_FRACTION = 0.5

    /**
     * Fraction of the shared tokens credited to a preferred server; one that is known to have all
     * of them cached still wins.
     */
    private const val PREFERRED_CACHE_FRACTION = 0.8

    /**
     * Weight of cached tokens: processing shared parts again delays the other calls of a batch too.
     */
    private const val CACHE_WEIGHT = 1.5

    /** Weight of failures for calls that cannot be repeated. */
    private const val UNSAFE_FAILURE_WEIGHT = 4.0

    /**
     * Delay that a full batch adds to its calls: steps take about three times as long as in an
     * empty one.
     */
    private const val FULL_BATCH_MS = 400.0

    /** Fraction of a plain call's time that full load adds to it. */
    private const val PLAIN_LOAD_FACTOR = 0.2

    /** Lower bound of the mean call time, also used before any call has completed. */
    private const val MIN_CALL_MS = 20.0

    /**
     * Expected time from the first event that the caller of [call] still lacks to the last one of its
     * answer.
     */
    fun answerMs(call: Call, state: ServiceState, eventGapMs: Double): Double {
        val tokens = call.spec.prompt?.outputTokens ?: return 0.0
        val events = state.answerLengths.expectedEvents(tokens) - (call.spec.resumeAfter ?: 0)
        return events.coerceAtLeast(0.0) * eventGapMs
    }

    /**
     * Cost of the time for the events after the first one. Its weight is low while the answer can
     * be finished; what goes beyond a safe fraction of the caller's remaining time counts in full,
     * since most of a long answer is lost when it times out.
     */
    fun answerDelayMs(call: Call, state: ServiceState, eventGapMs: Double, nowMs: Long): Double {
        val answerMs = answerMs(call, state, eventGapMs)
        val excessMs = answerMs - call.remainingMs(nowMs) * SAFE_TIME_FRACTION
        return answerMs * ANSWER_WEIGHT + excessMs.coerceAtLeast(0.0)
    }

    /**
     * Cost of the interference between this call and the others of [backend]: prompts that arrive
     * during a long answer delay it, and a prompt pauses every running answer.
     */
    fun interferenceMs(
        backend: Backend,
        prompt: Prompt,
        uncachedTokens: Int,
        state: ServiceState,
    ): Double {
        val recentTokens = backend.life.recentPromptTokens + backend.peerRecentPromptTokens
        val prefillMsPerS = recentTokens * state.msPerPromptToken / RECENT_PROMPT_WINDOW_S
        val prefillFraction = (prefillMsPerS / MS_PER_S).coerceAtMost(1.0)
        val answerSlowdownMs = prefillFraction * prompt.outputTokens * MS_PER_OUTPUT_TOKEN
        val promptPauseMs = uncachedTokens * state.msPerPromptToken * backend.load
        return ANSWER_SLOWDOWN_WEIGHT * answerSlowdownMs + PROMPT_PAUSE_WEIGHT * promptPauseMs
    }

    /**
     * Cost of the pauses that the prompt of [call] causes in the answers of another region's
     * engine, assuming that the engine has the mean load of its region.
     */
    fun remoteInterferenceMs(world: GatewayWorld, call: Call, load: ServiceLoad): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val slots = world.catalog?.service(call.service)?.engine?.slots ?: return 0.0
        val running = slots.toDouble() * load.usedSlots / load.totalSlots
        return PROMPT_PAUSE_WEIGHT * tokens * world.service(call.service).msPerPromptToken * running
    }

    /**
     * Saving from the shared tokens that [backend] has cached. A server with [isPreferred] is
     * credited with most of them in any case, since all processes choose the same servers for them.
     */
    fun cacheSavingMs(
        shared: List<PromptPart>,
        backend: Backend,
        isPreferred: Boolean,
        state: ServiceState,
    ): Double {
        val cachedTokenCount = backend.life.cache.cachedTokens(shared).toDouble()
        val countedTokens = if (isPreferred) {
            maxOf(cachedTokenCount, shared.sumOf { it.tokens } * PREFERRED_CACHE_FRACTION)
        } else {
            cachedTokenCount
        }
        return countedTokens * state.msPerPromptToken * CACHE_WEIGHT
    }

    /**
     * Time for the prompt tokens beyond [TYPICAL_PROMPT_TOKENS], assuming that the caches of
     * another region have none of them.
     */
    fun remoteExtraPromptMs(world: GatewayWorld, call: Call): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val extraTokens = (tokens - TYPICAL_PROMPT_TOKENS).coerceAtLeast(0)
        return extraTokens * world.service(call.service).msPerPromptToken
    }

    /**
     * Expected time to the first event at an engine of another region that owns the shared parts of
     * [call], without the round trip. It is the mean wait there, since the engine is not chosen by
     * its load, with the call's own part of the prompt in place of a typical prompt. The figures of
     * [load] do not include [relayedCalls] yet.
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
        val engines = (load.totalSlots / slots).coerceAtLeast(1)
        val typicalMs = TYPICAL_PROMPT_TOKENS * state.msPerPromptToken
        return load.meanWaitMs - typicalMs + ownPrefillMs * (1 + relayedCalls.toDouble() / engines)
    }

    /** Prompt tokens that [backend] does not have cached. */
    fun uncachedTokens(prompt: Prompt?, backend: Backend): Int {
        if (prompt == null) return 0
        return prompt.promptTokens - backend.life.cache.cachedTokens(prompt.parts)
    }

    /**
     * Expected time in milliseconds until [backend] sends the first event of a call of [priority]
     * with [tokens] uncached prompt tokens.
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
        val report = backend.life.freshReport(nowMs)
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

    /** Cost of a failure of [call] at a server. */
    fun failureCostMs(call: Call): Double =
        call.route.objectiveMs * if (call.route.isRepeatable) 1.0 else UNSAFE_FAILURE_WEIGHT
}
