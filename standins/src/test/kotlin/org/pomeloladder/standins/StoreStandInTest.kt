/*
 * The store stand-in over HTTP: what readers see of a restore from a copy.
 */
package org.pomeloladder.standins

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class StoreStandInTest {
    private val store = StoreStandIn()

    @BeforeEach
    fun start() = store.start()

    @AfterEach
    fun stop() = store.close()

    // Guards against an era that some answers lack, so that a reader can miss a restore.
    @Test
    fun `every answer carries the era, also 404, 410 and 503`() {
        store.put("a", "1")
        store.dropHistory()
        val revision = revision()
        val answers = { listOf(range(), watch(0), watch(revision, waitMs = 0), get("/other")) }
        val statuses = listOf(Status.OK, Status.GONE, Status.OK, Status.NOT_FOUND)

        expectThat(answers().map { it.status }).isEqualTo(statuses)
        expectThat(answers().map(::era)).all { isEqualTo("1") }
        store.restore(store.copy())
        expectThat(answers().map { it.status }).isEqualTo(statuses)
        expectThat(answers().map(::era)).all { isEqualTo("2") }

        store.isRefusing = true
        expectThat(answers().map { it.status }).all { isEqualTo(Status.SERVICE_UNAVAILABLE) }
        expectThat(answers().map(::era)).all { isEqualTo("2") }
    }

    // Guards against a restore that keeps an item written since, or loses one removed since.
    @Test
    fun `a restore brings back contents, revision and history of the copy`() {
        store.put("changed", "old")
        store.put("removed", "old")
        val copy = store.copy()
        val contents = body(range())
        store.put("changed", "new")
        store.remove("removed")
        store.put("added", "new")

        store.restore(copy)

        expectThat(body(range())).isEqualTo(contents)
        expectThat(keys(watch(1))).containsExactly("changed", "removed")
    }

    // Guards against a copy that changes with the store that it was taken from.
    @Test
    fun `a copy can be restored again after later writes and a dropped history`() {
        store.put("a", "1")
        val copy = store.copy()
        repeat(2) {
            store.put("b", "2")
            store.dropHistory()
            store.restore(copy)

            expectThat(revision()).isEqualTo(2)
            expectThat(keys(watch(1))).containsExactly("a")
        }
        expectThat(era(range())).isEqualTo("3")
    }

    // Guards against revisions that never go back, which would hide what a reader makes of it.
    @Test
    fun `writes after a restore get the revisions after the copy's again`() {
        val copy = store.copy()
        repeat(LOST_WRITES) { store.put("lost", "$it") }
        store.restore(copy)
        store.put("later", "1")

        expectThat(revision()).isEqualTo(2)
        expectThat(watch(1L + LOST_WRITES).status).isEqualTo(Status.GONE)
        expectThat(keys(watch(1))).containsExactly("later")
    }

    // Guards against a 410 for a reader of a revision that was given out again.
    @Test
    fun `a watch from a revision that was given out again is answered as usual`() {
        val copy = store.copy()
        repeat(LOST_WRITES) { store.put("lost", "$it") }
        store.restore(copy)
        repeat(LOST_WRITES + 1) { store.put("later-$it", "1") }

        expectThat(keys(watch(1L + LOST_WRITES))).containsExactly("later-$LOST_WRITES")
    }

    // Guards against a watch from a lost revision that is answered by the writes after the restore,
    // because it looks at the store only once these are done.
    @Test
    fun `waiting watches end at a restore, with 410 from a revision that the copy lacks`() {
        store.put("kept", "1")
        val copy = store.copy()
        val keptRevision = revision()
        val kept = waitingWatch(keptRevision, "other")
        repeat(LOST_WRITES) { store.put("lost", "$it") }
        val lost = waitingWatch(keptRevision + LOST_WRITES, "")
        Thread.sleep(SETTLE_MS)

        val startedNanos = System.nanoTime()
        store.restore(copy)
        repeat(LOST_WRITES + 1) { store.put("later", "$it") }

        val lostAnswer = lost.get(LIMIT_S, TimeUnit.SECONDS)
        val keptAnswer = kept.get(LIMIT_S, TimeUnit.SECONDS)
        val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
        expectThat(tookMs).isLessThan(LONG_WAIT_MS / 2)
        expectThat(lostAnswer.status).isEqualTo(Status.GONE)
        expectThat(keptAnswer.status).isEqualTo(Status.OK)
        expectThat(keys(keptAnswer)).isEmpty()
        expectThat(listOf(lostAnswer, keptAnswer).map(::era)).all { isEqualTo("2") }
    }

    // Guards against watches that end early without a restore, so that readers poll.
    @Test
    fun `a watch without a change waits, also one that begins after a restore`() {
        store.restore(store.copy())
        val startedNanos = System.nanoTime()

        expectThat(watch(1, SHORT_WAIT_MS).status).isEqualTo(Status.OK)

        val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
        expectThat(tookMs).isGreaterThan(SHORT_WAIT_MS - TIMER_SLACK_MS)
    }

    private fun waitingWatch(after: Long, prefix: String) =
        CompletableFuture.supplyAsync { watch(after, LONG_WAIT_MS, prefix) }

    private fun watch(after: Long, waitMs: Long = SHORT_WAIT_MS, prefix: String = "") =
        get("/pomeloladder/kv-watch?Prefix=$prefix&after=$after&WaitMs=$waitMs")

    private fun range() = get("/pomeloladder/kv-range?Prefix=")

    private fun revision() = body(range()).getValue("CurrentRev").jsonPrimitive.long

    private fun era(response: Response) = response.header("Store-Era")

    private fun body(response: Response): JsonObject =
        Json.parseToJsonElement(response.bodyString()).jsonObject

    private fun keys(response: Response): List<String> {
        val events: JsonArray = body(response).getValue("events").jsonArray
        return events.map { it.jsonObject.getValue("Key").jsonPrimitive.content }
    }

    private fun get(path: String): Response =
        http(Request(Method.GET, "http://${store.address}$path"))

    private companion object {
        const val LOST_WRITES = 4
        const val SETTLE_MS = 300L
        const val SHORT_WAIT_MS = 200L
        const val TIMER_SLACK_MS = 20L
        const val LONG_WAIT_MS = 20_000L
        const val LIMIT_S = 30L
        val http = JettyClient()
    }
}
