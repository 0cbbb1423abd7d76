/*
 * An attempt that another entry VM forwarded to this process. Its response parts and its outcome
 * are sent back on the connection on which the attempt arrived.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptFirstToken
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.peer.EndFrame
import org.pomeloladder.peer.ForwardFrame
import org.pomeloladder.peer.PartFrame
import org.pomeloladder.peer.RefusedFrame
import org.pomeloladder.peer.ReplySender
import org.pomeloladder.peer.ResponsePart

/** Sends the response to one forwarded attempt back to its ingress. */
class PeerExchange(
    private val forward: ForwardFrame,
    private val replyTo: ReplySender,
    private val events: EventSink,
) : ResponseSink {
    private var hasSentPart = false

    override val payload: ByteArray
        get() = forward.payload

    override val deliveredText: String
        get() = forward.deliveredText

    override fun onPart(attempt: AttemptId, part: ResponsePart): Boolean {
        if (!hasSentPart) {
            hasSentPart = true
            events.post(AttemptFirstToken(attempt))
        }
        return replyTo.send(PartFrame(attempt, part))
    }

    override fun onEnded(attempt: AttemptId, outcome: AttemptOutcome) {
        replyTo.send(EndFrame(attempt, outcome))
        events.post(AttemptEnded(attempt, outcome))
    }

    override fun onRefused(attempt: AttemptId, refusal: Refusal) {
        replyTo.send(RefusedFrame(attempt, refusal))
    }

    /** Returns whether the response is sent through [sender]. */
    fun repliesThrough(sender: ReplySender) = replyTo === sender
}
