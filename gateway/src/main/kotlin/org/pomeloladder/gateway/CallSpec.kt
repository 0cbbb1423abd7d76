/*
 * What the decisions know of a call. Its bytes stay with the traffic thread.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId

/** A part of a prompt and its size. */
data class PromptPart(val id: PartId, val tokens: Int)

/**
 * The prompt of a call to a model engine. The last part belongs to the call or its session alone. [outputTokens] is what
 * the caller expects, or allows when it did not say what it expects.
 */
data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val outputTokens: Int) {
    val sharedParts: List<PromptPart>
        get() = if (parts.isEmpty()) parts else parts.subList(0, parts.size - 1)
}

/** Where a call came from. */
sealed interface CallOrigin {
    /** A caller of this process. */
    data object Caller : CallOrigin

    /** Relayed by another entry VM: it is served in this region or refused, never relayed again. */
    data class Peer(val vm: VmId, val catalogVersion: Long) : CallOrigin
}

/** One call as it was read. [budgetMs] is the time until its caller stops waiting, null when it did not say. */
data class CallSpec(
    val requestId: RequestId,
    val host: String,
    val path: String,
    val budgetMs: Long?,
    val prompt: Prompt?,
    val resumeAfter: Long?,
    val origin: CallOrigin = CallOrigin.Caller,
)
