/*
 * A caller's request in progress. Attempts deliver response parts, which the caller's thread reads.
 * The first attempt that delivers a part is selected. Parts of other attempts are refused, so that
 * two responses are never mixed.
 */
package org.pomeloladder.daemon

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptFirstToken
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.AttemptProgress
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RunState
import org.pomeloladder.peer.ResponsePart

/** Number of tokens between two progress events to the control thread. */
private const val PROGRESS_INTERVAL_TOKENS = 64

/** An item of the queue that the caller's thread reads. */
sealed interface ExchangeItem {
    data class Part(val part: ResponsePart) : ExchangeItem

    data object Done : ExchangeItem

    data class Refused(val refusal: Refusal) : ExchangeItem
}

/** Passes the response parts of one request's attempts to its caller. */
class CallerExchange(
    val request: RequestId,
    override val payload: ByteArray,
    private val events: EventSink,
) : ResponseSink {
    // Unbounded, because the output token limit bounds each response. Blocking on a slow caller
    // would occupy the engine's slot and delay the responses of other callers on the same peer
    // connection.
    private val items = LinkedBlockingQueue<ExchangeItem>()
    private val lock = Any()
    private val deliveredTextBuilder = StringBuilder()
    private var selectedAttempt: AttemptId? = null
    private var deliveredCount = 0
    private var isClosed = false

    override val deliveredText: String
        get() = synchronized(lock) { deliveredTextBuilder.toString() }

    override fun onPart(attempt: AttemptId, part: ResponsePart): Boolean {
        val acceptance = synchronized(lock) {
            evaluatePart(attempt, part).also {
                if (it ==
                    Acceptance.NEW
                ) {
                    items.add(ExchangeItem.Part(part))
                }
            }
        }
        if (acceptance == Acceptance.NEW) reportProgress(attempt, part)
        return acceptance != Acceptance.REFUSED
    }

    override fun onEnded(attempt: AttemptId, outcome: AttemptOutcome) {
        val reportedOutcome = synchronized(lock) {
            if (outcome is AttemptOutcome.Completed) return@synchronized outcome
            if (selectedAttempt == attempt) selectedAttempt = null
            if (outcome is AttemptOutcome.Failed) {
                outcome.copy(
                    deliveredTokens = deliveredCount,
                )
            } else {
                outcome
            }
        }
        events.post(AttemptEnded(attempt, reportedOutcome))
    }

    override fun onRefused(attempt: AttemptId, refusal: Refusal) {
        val outcome = when (refusal.runState) {
            RunState.NOT_RUN -> AttemptOutcome.NotSent(refusal)
            RunState.UNKNOWN -> AttemptOutcome.Failed(refusal)
        }
        onEnded(attempt, outcome)
    }

    /** Ends the response. The caller first reads the items that are still queued. */
    fun complete() = enqueueLast(ExchangeItem.Done)

    /** Ends the response with [refusal], also after some parts were delivered. */
    fun refuse(refusal: Refusal) = enqueueLast(ExchangeItem.Refused(refusal))

    /** Waits for the next item; returns a refusal if none arrives within [timeoutMs]. */
    fun next(timeoutMs: Long): ExchangeItem = items.poll(timeoutMs, TimeUnit.MILLISECONDS)
        ?: ExchangeItem.Refused(Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN))

    /** Refuses further parts, because the caller has disconnected or has its response. */
    fun close() = synchronized(lock) { isClosed = true }

    private fun enqueueLast(item: ExchangeItem) {
        synchronized(lock) { isClosed = true }
        items.add(item)
    }

    private fun evaluatePart(attempt: AttemptId, part: ResponsePart): Acceptance {
        if (isClosed) return Acceptance.REFUSED
        if (selectedAttempt == null) {
            selectedAttempt = attempt
            events.post(AttemptFirstToken(attempt))
        }
        if (selectedAttempt != attempt) return Acceptance.REFUSED
        if (part !is ResponsePart.Token) return Acceptance.NEW
        if (part.offset < deliveredCount) return Acceptance.DUPLICATE
        if (part.offset > deliveredCount) return Acceptance.REFUSED
        deliveredCount += 1
        deliveredTextBuilder.append(part.text)
        return Acceptance.NEW
    }

    private fun reportProgress(attempt: AttemptId, part: ResponsePart) {
        if (part !is ResponsePart.Token) return
        val count = part.offset + 1
        if (count % PROGRESS_INTERVAL_TOKENS == 0) events.post(AttemptProgress(attempt, count))
    }

    private enum class Acceptance { NEW, DUPLICATE, REFUSED }
}
