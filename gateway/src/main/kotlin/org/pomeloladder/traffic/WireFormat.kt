/*
 * What a deployment calls the things on the wire. The traffic side moves bytes and asks this interface for every name,
 * so that another deployment needs another implementation and nothing else.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallSpec
import org.pomeloladder.gateway.LoadReport
import org.pomeloladder.gateway.SendTarget

/** The head of a server's answer, decoded. */
data class ResponseHead(
    val status: Int,
    val requestId: String?,
    val hasServerStamp: Boolean,
    val isMarkedNotRun: Boolean,
    val isWrongInstance: Boolean,
    val hasContentEncoding: Boolean,
    val load: LoadReport?,
) {
    val isSuccess: Boolean
        get() = status in SUCCESS

    /** Whether the status promises that the request has not run. */
    val statusImpliesNotRun: Boolean
        get() = status in PROMISES

    private companion object {
        val SUCCESS = 200..299
        val PROMISES = setOf(408, 421, 429, 503)
    }
}

/** What a health answer says. [coldForMs] is 0 for a server at full speed. */
data class HealthReport(val isHealthy: Boolean, val coldForMs: Long, val load: LoadReport?)

/** Head fields that this process sets on a request to a backend server. */
data class ServerRequestHead(
    val target: SendTarget.Server,
    val remainingMs: Long,
    val priority: Int,
    val resumeAfter: Long?,
)

/** Names and encodings of one deployment. Called on the traffic thread and must not block. */
interface WireFormat {
    /** Decodes a caller's request head, or null when it is not a proper one. */
    fun readCall(path: String, headers: HttpHeaders): CallSpec?

    /** Removes what callers may not set, and sets what this process decides. */
    fun writeServerRequestHead(headers: HttpHeaders, head: ServerRequestHead)

    fun readResponseHead(status: Int, headers: HttpHeaders): ResponseHead

    fun readHealth(status: Int, headers: HttpHeaders): HealthReport

    /** Status and head fields for a call that this process ends. */
    fun writeRefusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders): Int
}
