/*
 * One caller's request while its bytes are in flight. Attempts deliver parts here; the caller's thread reads them. The
 * first attempt to deliver a part wins, and parts of other attempts are refused, so that answers never mix.
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
import org.pomeloladder.peer.AnswerPart

/** Tokens between two progress events to the control thread. */
private const val PROGRESS_TOKENS = 64

/** What the caller's thread reads. */
sealed interface ExchangeItem {
    data class Part(val part: AnswerPart) : ExchangeItem

    data object Done : ExchangeItem

    data class Refused(val refusal: Refusal) : ExchangeItem
}

/** The meeting point of a caller and its attempts. */
class CallerExchange(
    val request: RequestId,
    override val payload: ByteArray,
    private val events: EventSink,
) : AnswerSink {
    // Unbounded, because an answer is bounded by its output tokens. Waiting for a slow caller here would hold its engine's
    // slot, and the answers of other callers on the same peer connection.
    private val items = LinkedBlockingQueue<ExchangeItem>()
    private val lock = Any()
    private val text = StringBuilder()
    private var winner: AttemptId? = null
    private var delivered = 0
    private var isClosed = false

    override val deliveredText: String
        get() = synchronized(lock) { text.toString() }

    override fun part(attempt: AttemptId, part: AnswerPart): Boolean {
        val accepted = synchronized(lock) {
            accept(attempt, part).also {
                if (it ==
                    Acceptance.NEW
                ) {
                    items.add(ExchangeItem.Part(part))
                }
            }
        }
        if (accepted == Acceptance.NEW) report(attempt, part)
        return accepted != Acceptance.REFUSED
    }

    override fun ended(attempt: AttemptId, outcome: AttemptOutcome) {
        val final = synchronized(lock) {
            if (outcome is AttemptOutcome.Completed) return@synchronized outcome
            if (winner == attempt) winner = null
            if (outcome is AttemptOutcome.Failed) {
                outcome.copy(
                    deliveredTokens = delivered,
                )
            } else {
                outcome
            }
        }
        events.post(AttemptEnded(attempt, final))
    }

    override fun refused(attempt: AttemptId, refusal: Refusal) {
        val outcome = when (refusal.runState) {
            RunState.NOT_RUN -> AttemptOutcome.NotSent(refusal)
            RunState.UNKNOWN -> AttemptOutcome.Failed(refusal)
        }
        ended(attempt, outcome)
    }

    /** The request is complete; the caller reads what remains and then the end. */
    fun complete() = finish(ExchangeItem.Done)

    /** The request is refused or broken off. */
    fun refuse(refusal: Refusal) = finish(ExchangeItem.Refused(refusal))

    /** The next item, or a refusal when none arrives in [timeoutMs]. */
    fun next(timeoutMs: Long): ExchangeItem = items.poll(timeoutMs, TimeUnit.MILLISECONDS)
        ?: ExchangeItem.Refused(Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN))

    /** Stops taking parts, because the caller is gone or was answered. */
    fun close() = synchronized(lock) { isClosed = true }

    private fun finish(item: ExchangeItem) {
        synchronized(lock) { isClosed = true }
        items.add(item)
    }

    private fun accept(attempt: AttemptId, part: AnswerPart): Acceptance {
        if (isClosed) return Acceptance.REFUSED
        if (winner == null) {
            winner = attempt
            events.post(AttemptFirstToken(attempt))
        }
        if (winner != attempt) return Acceptance.REFUSED
        if (part !is AnswerPart.Token) return Acceptance.NEW
        if (part.offset < delivered) return Acceptance.KNOWN
        if (part.offset > delivered) return Acceptance.REFUSED
        delivered += 1
        text.append(part.text)
        return Acceptance.NEW
    }

    private fun report(attempt: AttemptId, part: AnswerPart) {
        if (part !is AnswerPart.Token) return
        val count = part.offset + 1
        if (count % PROGRESS_TOKENS == 0) events.post(AttemptProgress(attempt, count))
    }

    private enum class Acceptance { NEW, KNOWN, REFUSED }
}
