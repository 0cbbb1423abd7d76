/*
 * An attempt that another entry VM forwarded here: parts and the outcome go back over the connection it came on.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptFirstToken
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.peer.AnswerPart
import org.pomeloladder.peer.EndFrame
import org.pomeloladder.peer.ForwardFrame
import org.pomeloladder.peer.PartFrame
import org.pomeloladder.peer.RefusedFrame
import org.pomeloladder.peer.ReplyLink

/** Sends the answer of one forwarded attempt back to its ingress. */
class PeerExchange(
    private val forward: ForwardFrame,
    private val replies: ReplyLink,
    private val events: EventSink,
) : AnswerSink {
    private var hasParts = false

    override val payload: ByteArray
        get() = forward.payload

    override val deliveredText: String
        get() = forward.deliveredText

    override fun part(attempt: AttemptId, part: AnswerPart): Boolean {
        if (!hasParts) {
            hasParts = true
            events.post(AttemptFirstToken(attempt))
        }
        return replies.send(PartFrame(attempt, part))
    }

    override fun ended(attempt: AttemptId, outcome: AttemptOutcome) {
        replies.send(EndFrame(attempt, outcome))
        events.post(AttemptEnded(attempt, outcome))
    }

    override fun refused(attempt: AttemptId, refusal: Refusal) {
        replies.send(RefusedFrame(attempt, refusal))
    }

    /** Whether the way back is [link]. */
    fun repliesOver(link: ReplyLink) = replies === link
}
