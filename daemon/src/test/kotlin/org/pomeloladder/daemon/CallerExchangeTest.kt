package org.pomeloladder.daemon

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.peer.AnswerPart
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.single

private const val WAIT_MS = 1_000L
private const val LONG_ANSWER_TOKENS = 20_000

class CallerExchangeTest {
    private val first = AttemptId("first")
    private val second = AttemptId("second")
    private val events = ArrayList<Event>()
    private val exchange = CallerExchange(RequestId("r1"), ByteArray(0)) { events += it }

    @Test
    fun `parts of a losing attempt are refused, so two answers never mix`() {
        exchange.part(first, AnswerPart.Token(0, "a"))

        expectThat(exchange.part(second, AnswerPart.Token(0, "x"))).isFalse()
        expectThat(exchange.part(first, AnswerPart.Token(1, "b"))).isTrue()
        expectThat(exchange.deliveredText).isEqualTo("ab")
    }

    @Test
    fun `a resumed answer repeats no token and leaves none out`() {
        exchange.part(first, AnswerPart.Token(0, "a"))
        exchange.part(first, AnswerPart.Token(1, "b"))
        exchange.ended(first, AttemptOutcome.Failed(Refusal(RefusalReason.CONNECTION_LOST)))

        expectThat(exchange.part(second, AnswerPart.Token(1, "b"))).isTrue()
        expectThat(exchange.part(second, AnswerPart.Token(3, "d"))).isFalse()
        expectThat(exchange.part(second, AnswerPart.Token(2, "c"))).isTrue()
        expectThat(exchange.deliveredText).isEqualTo("abc")
    }

    @Test
    fun `a broken attempt tells how many tokens were delivered, so the next one starts there`() {
        exchange.part(first, AnswerPart.Token(0, "a"))
        exchange.ended(first, AttemptOutcome.Failed(Refusal(RefusalReason.CONNECTION_LOST)))

        expectThat(events).filterIsInstance<AttemptEnded>().single()
            .get { (outcome as AttemptOutcome.Failed).deliveredTokens }.isEqualTo(1)
    }

    @Test
    fun `a caller that does not read holds up neither its engine nor other callers' answers`() {
        repeat(LONG_ANSWER_TOKENS) { exchange.part(first, AnswerPart.Token(it, "t")) }

        exchange.complete()

        val items = generateSequence { exchange.next(WAIT_MS) }
            .takeWhile { it != ExchangeItem.Done }.count()
        expectThat(items).isEqualTo(LONG_ANSWER_TOKENS)
    }
}
