/*
 * A simulated order service. It executes every order that it receives, without checking whether it
 * has executed the same key before, so that a repeated call shows up as a second execution.
 */
package org.pomeloladder.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.pomeloladder.configuration.Address

/**
 * An order service that counts executions per key. Idempotent calls (`POST /services/{service}`)
 * echo their body.
 */
class OrderServiceStandIn(port: Int = 0) : StandIn {
    private val executions = ConcurrentHashMap<String, AtomicInteger>()
    private val listener = LoopbackListener(port, handler())

    /** Delay between receiving and executing an order. */
    @Volatile
    var executeDelayMs = 0L

    /** Delay between executing an order and responding. */
    @Volatile
    var answerDelayMs = 0L

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    /**
     * Number of executions of the caller's [key] in all its forms. The gateway appends another `~`
     * and a hash of the subscriber to the key; executions without a hash or with different hashes
     * count for the same key.
     */
    fun executionsOf(key: String): Int = executions
        .filterKeys { it == key || it.startsWith("$key~") }
        .values.sumOf { it.get() }

    /** Number of executions of each key, with keys exactly as received. */
    fun allExecutions(): Map<String, Int> = executions.mapValues { it.value.get() }

    private fun handler() = routes(
        "/orders" bind Method.POST to ::execute,
        "/orders/{key}" bind Method.GET to ::lookUp,
        "/services/{service}" bind Method.POST to { json(it.bodyString()) },
    )

    private fun execute(request: Request): Response {
        val key = request.header("Idempotency-Key") ?: return Response(Status.BAD_REQUEST)
        if (executeDelayMs > 0) Thread.sleep(executeDelayMs)
        executions.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
        if (answerDelayMs > 0) Thread.sleep(answerDelayMs)
        return json("""{"key":"$key","state":"executed"}""", Status.CREATED)
    }

    private fun lookUp(request: Request): Response {
        val key = request.path("key").orEmpty()
        if (!executions.containsKey(key)) return Response(Status.NOT_FOUND)
        return json("""{"key":"$key","state":"executed"}""")
    }
}
