/*
 * A simulated store of the users' platform: revisioned items, paged reads, watches (long polls) and
 * a history of changes that can be discarded. It can go back to a copy of itself, which loses what
 * was written since. Tests write to it directly; the processes under test only read it over HTTP.
 */
package org.pomeloladder.standins

import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

/** Small, so that reads in tests span several pages. */
private const val PAGE_SIZE = 3
private const val MAX_WAIT_MS = 30_000L
private const val ERA_HEADER = "Store-Era"

/** The contents, revision and history of a [StoreStandIn] at one moment. */
class StoreCopy internal constructor(
    internal val items: List<StoredItem>,
    internal val history: List<StoredItem>,
    internal val revision: Long,
    internal val historyStart: Long,
)

/** The value of [key] as written at [revision], null if the key was removed then. */
internal class StoredItem(val key: String, val value: String?, val revision: Long)

/** A key-value store with an HTTP interface on loopback. */
class StoreStandIn : StandIn {
    /** A call that waits for changes after the revision [after]. */
    private class Watch(val after: Long) {
        var isEnded = false
        var isGone = false
    }

    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val items = TreeMap<String, StoredItem>()
    private val history = ArrayList<StoredItem>()
    private var revision = 1L
    private var historyStart = 1L
    private var era = 1L
    private val watches = HashSet<Watch>()
    private val listener = LoopbackListener(0, handler())
    private val closed = CountDownLatch(1)

    /**
     * While true, nothing is answered. Requests that arrive or become due meanwhile stay without an
     * answer afterwards, too.
     */
    @Volatile
    var isSilent = false

    /** While true, every request is answered with 503 (service unavailable). */
    @Volatile
    var isRefusing = false

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() {
        closed.countDown()
        listener.close()
    }

    fun put(key: String, value: String) = write(key, value)

    fun remove(key: String) = write(key, null)

    /**
     * Discards the change history. A watch from an earlier revision is answered with 410 (gone).
     */
    fun dropHistory() = lock.withLock {
        history.clear()
        historyStart = revision
        changed.signalAll()
    }

    fun copy(): StoreCopy = lock.withLock {
        StoreCopy(items.values.toList(), history.toList(), revision, historyStart)
    }

    /**
     * Goes back to [copy] and begins a new era. All waiting watches end; those from a revision that
     * [copy] does not have are answered with 410 (gone), whatever is written after this call.
     */
    fun restore(copy: StoreCopy) = lock.withLock {
        items.clear()
        copy.items.associateByTo(items) { it.key }
        history.clear()
        history += copy.history
        revision = copy.revision
        historyStart = copy.historyStart
        era++
        for (watch in watches) {
            watch.isEnded = true
            watch.isGone = watch.isGone || !isAvailable(watch.after)
        }
        changed.signalAll()
    }

    private fun write(key: String, value: String?) = lock.withLock {
        val item = StoredItem(key, value, ++revision)
        if (value == null) items.remove(key) else items[key] = item
        history += item
        changed.signalAll()
    }

    private fun handler(): HttpHandler = { request ->
        if (isSilent) closed.await()
        val response = answer(request)
        if (isSilent) closed.await()
        response
    }

    /** The lock makes the era in the header the one that the response was read from. */
    private fun answer(request: Request): Response = lock.withLock {
        val response = when {
            isRefusing -> Response(Status.SERVICE_UNAVAILABLE)
            request.uri.path == "/pomeloladder/kv-range" -> range(request)
            request.uri.path == "/pomeloladder/kv-watch" -> watch(request)
            else -> Response(Status.NOT_FOUND)
        }
        response.header(ERA_HEADER, era.toString())
    }

    private fun range(request: Request): Response {
        val prefix = request.query("Prefix").orEmpty()
        val after = request.query("after").orEmpty()
        val matches = items.values.filter { it.key.startsWith(prefix) && it.key > after }
        val body = JsonObject(
            mapOf(
                "items" to JsonArray(matches.take(PAGE_SIZE).map(::json)),
                "MorePages" to JsonPrimitive(matches.size > PAGE_SIZE),
                "CurrentRev" to JsonPrimitive(revision),
            ),
        )
        return json(body.toString())
    }

    private fun watch(request: Request): Response {
        val prefix = request.query("Prefix").orEmpty()
        val after = request.query("after")?.toLongOrNull() ?: 0
        val waitMs = request.query("WaitMs")?.toLongOrNull() ?: 0
        if (!awaitChanges(after, prefix, waitMs)) return Response(Status.GONE)
        val body = JsonObject(
            mapOf(
                "events" to JsonArray(changesAfter(after, prefix).map(::json)),
                "CurrentRev" to JsonPrimitive(revision),
            ),
        )
        return json(body.toString())
    }

    /**
     * Waits up to [waitMs] for a change after the revision [after]. Returns whether the store has
     * the history from there on.
     */
    private fun awaitChanges(after: Long, prefix: String, waitMs: Long): Boolean {
        val watch = Watch(after)
        var waitNanos = TimeUnit.MILLISECONDS.toNanos(waitMs.coerceAtMost(MAX_WAIT_MS))
        watches += watch
        try {
            while (waitNanos > 0 && hasNothingFor(watch, prefix)) {
                waitNanos = changed.awaitNanos(waitNanos)
            }
        } finally {
            watches -= watch
        }
        return !watch.isGone && isAvailable(after)
    }

    private fun hasNothingFor(watch: Watch, prefix: String) =
        !watch.isEnded && isAvailable(watch.after) && changesAfter(watch.after, prefix).isEmpty()

    private fun isAvailable(after: Long) = after in historyStart..revision

    private fun changesAfter(after: Long, prefix: String) =
        history.filter { it.revision > after && it.key.startsWith(prefix) }

    private fun json(item: StoredItem): JsonObject {
        val base = mapOf("Key" to JsonPrimitive(item.key), "Rev" to JsonPrimitive(item.revision))
        val value = item.value ?: return JsonObject(base + ("Removed" to JsonPrimitive(true)))
        val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
        return JsonObject(base + ("Value" to JsonPrimitive(encoded)))
    }
}
