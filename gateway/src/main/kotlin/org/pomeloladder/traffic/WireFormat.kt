/*
 * The HTTP headers and statuses of a deployment. The traffic code contains none of these names
 * itself, so that another deployment only needs another implementation of [WireFormat].
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallSpec
import org.pomeloladder.gateway.LoadReport
import org.pomeloladder.gateway.SendTarget

/**
 * Decoded head of a backend server's response. [hasServerStamp] tells whether it carries the header
 * that the backend server itself sets, [isMarkedNotRun] whether it states, by a header or its
 * status, that the request was not run.
 */
data class ResponseHead(
    val status: Int,
    val requestId: String?,
    val hasServerStamp: Boolean,
    val isMarkedNotRun: Boolean,
    val isWrongInstance: Boolean,
    val hasContentEncoding: Boolean,
    val load: LoadReport?,
    /** Requests a second that the server takes from all processes, if it names a limit. */
    val limitPerS: Double? = null,
    /** Requests a second that the server can turn away without falling over, if it names them. */
    val brittlePerS: Double? = null,
    /** Whether the server says that it leaves. */
    val isLeaving: Boolean = false,
    /** A header that can't be read, with its value, if there is one. */
    val unreadableHeader: String? = null,
) {
    val isSuccess: Boolean
        get() = status in SUCCESS_STATUSES

    /** Whether the status by itself means that the request was not run. */
    val statusImpliesNotRun: Boolean
        get() = status in NOT_RUN_STATUSES

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}

/**
 * Decoded response to a health check. [coldForMs] is 0 for a server at full speed. [isLeaving]
 * tells whether the server says that it leaves.
 */
data class HealthReport(
    val isHealthy: Boolean,
    val coldForMs: Long,
    val load: LoadReport?,
    val isLeaving: Boolean = false,
)

/** Values of the headers that this process sets on a request to a backend server. */
data class ServerRequestHead(
    val target: SendTarget.Server,
    val remainingMs: Long,
    val priority: Int,
    val resumeAfter: Long?,
)

/** Headers and statuses of one deployment. Called on the traffic thread; must not block. */
interface WireFormat {
    /** Decodes the head of a caller's request. Returns null if it is malformed. */
    fun readCall(path: String, headers: HttpHeaders): CallSpec?

    /** Removes headers that callers may not set, and sets those of [head]. */
    fun writeServerRequestHead(headers: HttpHeaders, head: ServerRequestHead)

    fun readResponseHead(status: Int, headers: HttpHeaders): ResponseHead

    fun readHealth(status: Int, headers: HttpHeaders): HealthReport

    /** Sets the headers of a refusal in [headers] and returns its status. */
    fun writeRefusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders): Int
}
