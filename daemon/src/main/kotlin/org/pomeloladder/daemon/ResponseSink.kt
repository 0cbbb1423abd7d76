/*
 * The receiver of a response: a caller of this process, or the entry VM that forwarded the attempt.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.peer.ResponsePart

/** Receives the responses of the attempts of one request. */
interface ResponseSink {
    /** The body of the caller's request, which is sent to the backend server. */
    val payload: ByteArray

    /** The text that was delivered to the caller before a resumed attempt started. */
    val deliveredText: String

    /** Receives [part]. Returns false if the attempt should be cancelled. */
    fun onPart(attempt: AttemptId, part: ResponsePart): Boolean

    /** Called when an attempt that was sent to a backend server ends. */
    fun onEnded(attempt: AttemptId, outcome: AttemptOutcome)

    /** Called when an attempt is refused without being sent to a backend server. */
    fun onRefused(attempt: AttemptId, refusal: Refusal)
}
