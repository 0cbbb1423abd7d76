/*
 * Stands in for an order service: it executes each call that it receives, without checking whether it has executed that
 * key before, so that a repeated call shows up as a second execution.
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

/** An order service that counts executions by key. Idempotent calls are answered with their own body. */
class OrderServiceStandIn(port: Int = 0) : StandIn {
    private val executions = ConcurrentHashMap<String, AtomicInteger>()
    private val listener = LoopbackListener(port, handler())

    /** Time before an order is executed. */
    @Volatile
    var executeDelayMs = 0L

    /** Time between the execution and its answer. */
    @Volatile
    var answerDelayMs = 0L

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    /**
     * How often the caller's [key] was executed under any form. The gateway adds a subscriber's hash after a further `~`;
     * executions without it, or with different ones, are executions of the same key.
     */
    fun executionsOf(key: String): Int = executions
        .filterKeys { it == key || it.startsWith("$key~") }
        .values.sumOf { it.get() }

    /** Every executed key, as it was received, with its number of executions. */
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
