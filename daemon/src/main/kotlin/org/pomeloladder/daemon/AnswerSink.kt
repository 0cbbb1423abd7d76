/*
 * Where the parts of an answer go: to a caller of this process, or back to the entry VM that forwarded the attempt.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.peer.AnswerPart

/** Receives the answer of one or more attempts of one request. */
interface AnswerSink {
    /** The caller's body, as it is sent to the backend server. */
    val payload: ByteArray

    /** Text that was delivered before a resumed attempt started. */
    val deliveredText: String

    /** Takes [part]. Returns false when the attempt should stop. */
    fun part(attempt: AttemptId, part: AnswerPart): Boolean

    /** The attempt ended after it was sent to a backend server. */
    fun ended(attempt: AttemptId, outcome: AttemptOutcome)

    /** The attempt was not sent to a backend server. */
    fun refused(attempt: AttemptId, refusal: Refusal)
}
