package org.pomeloladder.daemon

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.peer.ResponsePart
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.single

private const val WAIT_MS = 1_000L
private const val RESPONSE_TOKENS = 20_000

class CallerExchangeTest {
    private val first = AttemptId("first")
    private val second = AttemptId("second")
    private val events = ArrayList<Event>()
    private val exchange = CallerExchange(RequestId("r1"), ByteArray(0)) { events += it }

    @Test
    fun `parts of an attempt that was not selected are refused`() {
        exchange.onPart(first, ResponsePart.Token(0, "a"))

        expectThat(exchange.onPart(second, ResponsePart.Token(0, "x"))).isFalse()
        expectThat(exchange.onPart(first, ResponsePart.Token(1, "b"))).isTrue()
        expectThat(exchange.deliveredText).isEqualTo("ab")
    }

    @Test
    fun `a resumed response neither repeats nor skips tokens`() {
        exchange.onPart(first, ResponsePart.Token(0, "a"))
        exchange.onPart(first, ResponsePart.Token(1, "b"))
        exchange.onEnded(first, AttemptOutcome.Failed(Refusal(RefusalReason.CONNECTION_LOST)))

        expectThat(exchange.onPart(second, ResponsePart.Token(1, "b"))).isTrue()
        expectThat(exchange.onPart(second, ResponsePart.Token(3, "d"))).isFalse()
        expectThat(exchange.onPart(second, ResponsePart.Token(2, "c"))).isTrue()
        expectThat(exchange.deliveredText).isEqualTo("abc")
    }

    @Test
    fun `the outcome of a failed attempt has the number of delivered tokens`() {
        exchange.onPart(first, ResponsePart.Token(0, "a"))
        exchange.onEnded(first, AttemptOutcome.Failed(Refusal(RefusalReason.CONNECTION_LOST)))

        expectThat(events).filterIsInstance<AttemptEnded>().single()
            .get { (outcome as AttemptOutcome.Failed).deliveredTokens }.isEqualTo(1)
    }

    @Test
    fun `delivery does not block when the caller does not read`() {
        repeat(RESPONSE_TOKENS) { exchange.onPart(first, ResponsePart.Token(it, "t")) }

        exchange.complete()

        val items = generateSequence { exchange.next(WAIT_MS) }
            .takeWhile { it != ExchangeItem.Done }.count()
        expectThat(items).isEqualTo(RESPONSE_TOKENS)
    }
}
