/*
 * One call at the traffic thread: the bytes of its request, and what of its answer was passed on.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallSpec
import org.pomeloladder.gateway.SendId

/** The whole answer of a server, not passed on yet. */
internal class HeldAnswer(val head: ResponseHead, val headers: HttpHeaders, val body: ByteArray)

/** Where the answer of a call goes. */
internal interface AnswerSink {
    /** False while bytes that were passed on wait for the other side to read. */
    val isWritable: Boolean

    /** Starts a streamed answer. */
    fun startStream(status: Int, headers: HttpHeaders)

    fun streamBytes(bytes: ByteArray)

    /** Ends a streamed answer as complete. */
    fun endStream()

    /** Sends a whole answer. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Ends a call without a server's answer; a started stream is broken off. */
    fun refuse(reason: CallRefusal, retryAfterMs: Long?)
}

/** Bytes and progress of one call. Only the traffic thread touches it. */
internal class Exchange(
    val call: CallId,
    val spec: CallSpec,
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val sink: AnswerSink,
) {
    /** The last event that the caller has. */
    var lastEventId: Long? = spec.resumeAfter
    var isStreamStarted = false
    val held = HashMap<SendId, HeldAnswer>()

    /** Called when [sink] is writable again. */
    var onWritable: (() -> Unit)? = null

    /**
     * Passes [event] on. Returns false when events are missing before it; an event that the caller has already is left
     * out.
     */
    fun pass(event: StreamEvent, answer: ResponseHead, answerHeaders: HttpHeaders): Boolean {
        val last = lastEventId
        if (event.id != null && last != null) {
            if (event.id <= last) return true
            if (isStreamStarted && event.id != last + 1) return false
        }
        if (!isStreamStarted) {
            isStreamStarted = true
            sink.startStream(answer.status, answerHeaders)
        }
        if (event.id != null) lastEventId = event.id
        sink.streamBytes(event.bytes)
        return true
    }
}
