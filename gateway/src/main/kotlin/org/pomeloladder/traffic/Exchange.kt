/*
 * State of one call on the traffic thread: its request and how much of the response was forwarded.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallSpec
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SoftwareVersion

/** A complete response of a backend server that is not forwarded to the caller yet. */
internal class HeldResponse(val head: ResponseHead, val headers: HttpHeaders, val body: ByteArray)

/** Writes the response of a call to its caller. */
internal interface ResponseSink {
    /** False while the connection's write buffer is above its high-water mark. */
    val isWritable: Boolean

    /** Writes the head of a streamed response of a server of [version], null if it is not known. */
    fun startStream(status: Int, headers: HttpHeaders, version: SoftwareVersion?)

    fun writeStream(bytes: ByteArray)

    /** Completes a streamed response. */
    fun endStream()

    /** Writes a complete response. */
    fun sendResponse(status: Int, headers: HttpHeaders, body: ByteArray)

    /**
     * Ends a call without a server's response after [arrivals] at servers. Closes the connection if a
     * stream has started.
     */
    fun refuse(reason: CallRefusal, retryAfterMs: Long?, arrivals: Int)
}

/** Request and response progress of one call. Confined to the traffic thread. */
internal class Exchange(
    val call: CallId,
    val spec: CallSpec,
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val sink: ResponseSink,
) {
    /** Id of the last event that the caller has received. */
    var lastEventId: Long? = spec.resumeAfter
    var isStreamStarted = false
    val heldResponses = HashMap<SendId, HeldResponse>()

    /** Called when [sink] becomes writable again. */
    var onWritable: (() -> Unit)? = null

    /**
     * Forwards [event] of a server of [version] to the caller, or skips it if the caller already has
     * it. Returns false if events before it are missing.
     */
    fun forward(
        event: StreamEvent,
        responseHead: ResponseHead,
        responseHeaders: HttpHeaders,
        version: SoftwareVersion?,
    ): Boolean {
        val lastId = lastEventId
        if (event.id != null && lastId != null) {
            if (event.id <= lastId) return true
            if (isStreamStarted && event.id != lastId + 1) return false
        }
        if (!isStreamStarted) {
            isStreamStarted = true
            sink.startStream(responseHead.status, responseHeaders, version)
        }
        if (event.id != null) lastEventId = event.id
        sink.writeStream(event.bytes)
        return true
    }
}
