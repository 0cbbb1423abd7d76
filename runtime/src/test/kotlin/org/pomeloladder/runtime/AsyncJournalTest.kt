package org.pomeloladder.runtime

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.LogEvent
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class AsyncJournalTest {
    // Guards against a control thread that stops because log output is blocked.
    @Test
    fun `while the output is blocked, lines are dropped and counted, and logging does not block`() {
        val release = CountDownLatch(1)
        val dropped = AtomicLong()
        val blocked = object : Journal {
            override fun log(event: LogEvent, details: Map<String, Any?>) {
                release.await()
            }

            override fun count(counter: Counter, reason: String, amount: Long) {
                if (counter == Counter.LOG_LINES_DROPPED) dropped.addAndGet(amount)
            }
        }
        val journal = AsyncJournal(blocked)
        journal.start()
        val finished = CountDownLatch(1)
        val writer = Thread {
            repeat(10_000) { journal.log(LogEvent.CALL_SENT) }
            finished.countDown()
        }
        writer.start()

        expectThat(finished.await(10, TimeUnit.SECONDS)).isTrue()
        expectThat(dropped.get()).isGreaterThan(5_000)
        release.countDown()
        journal.close()
    }
}
