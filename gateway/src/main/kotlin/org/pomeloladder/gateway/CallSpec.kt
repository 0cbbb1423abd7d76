/*
 * The description of a call that decisions use. The bytes of the call stay with the traffic thread.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId

/** A part of a prompt and its size in tokens. */
data class PromptPart(val id: PartId, val tokens: Int)

/**
 * The prompt of a call to a model engine. Its last part belongs to this call or its session alone;
 * the other parts may be shared with other prompts. [outputTokens] is the answer length that the
 * caller expects, or else the maximum that it allows.
 */
data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val outputTokens: Int) {
    val sharedParts: List<PromptPart>
        get() = if (parts.isEmpty()) parts else parts.subList(0, parts.size - 1)
}

/** Who sent a call to this process. */
sealed interface CallOrigin {
    /** A caller connected to this process. */
    data object Caller : CallOrigin

    /**
     * Relayed by another entry VM, which has chosen [service] for it; null when an earlier version of
     * the VM does not tell. A call that goes on with a stream is served by [version] alone. Such a call
     * is served in this region or refused, never relayed again.
     */
    data class Peer(
        val vm: VmId,
        val catalogVersion: Long,
        val service: ServiceId? = null,
        val version: SoftwareVersion? = null,
    ) : CallOrigin
}

/**
 * A call as read from its connection. [budgetMs] is the time until the caller stops waiting, or
 * null when it did not say. [resumeAfter] is the last event that the caller has of a stream, and
 * [resumedRequest] the request whose answer brought the first one.
 */
data class CallSpec(
    val requestId: RequestId,
    val host: String,
    val path: String,
    val budgetMs: Long?,
    val prompt: Prompt?,
    val resumeAfter: Long?,
    val origin: CallOrigin = CallOrigin.Caller,
    val resumedRequest: RequestId? = null,
)
