/*
 * A simulated backend server of the users' platform that rejects a share of its requests, at once
 * or after holding them for a while. It records the arrival of each request, rejected ones too.
 */
package org.pomeloladder.standins

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ThreadLocalRandom
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val REQUEST_ID_HEADER = "X-Pomeloladder-Request-Id"

/** Requests with this path prefix get a stream of events. */
private const val STREAM_PATH_PREFIX = "/stream"

/**
 * A server with the id [instance] that rejects [rejectedShare] of its requests after
 * [rejectAfterMs] and answers the others after [processingMs].
 */
class RejectingServerStandIn(
    val instance: String,
    private val rejectedShare: Double,
    private val rejectAfterMs: Long = 0,
    private val processingMs: Long = 5,
) : StandIn {
    private val listener = LoopbackListener(0, handler())

    /** All arrivals so far, by the clock of [RouteServerStandIn.monotonicMs]. */
    val arrivals = ConcurrentLinkedQueue<Arrival>()

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    /** The JSON of this server's store entry. */
    fun entry(service: String, zone: String) =
        """{"Service":"$service","Address":"$address","Zone":"$zone","Version":"v1",""" +
            """"Slots":$SLOTS,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}"""

    private fun handler(): HttpHandler = { request ->
        val id = request.header(REQUEST_ID_HEADER)
        if (id == null) {
            Response(Status.OK)
        } else {
            arrivals += Arrival(id, RouteServerStandIn.monotonicMs())
            if (ThreadLocalRandom.current().nextDouble() < rejectedShare) {
                Thread.sleep(rejectAfterMs)
                answer(request, Status.SERVICE_UNAVAILABLE).header("X-Pomeloladder-Not-Run", "1")
            } else {
                Thread.sleep(processingMs)
                serve(request, id)
            }
        }
    }

    private fun serve(request: Request, id: String): Response {
        val answer = answer(request, Status.OK)
        if (!request.uri.path.startsWith(STREAM_PATH_PREFIX)) return answer.body("answer to $id")
        val firstEvent = (request.header("Last-Event-Id")?.toIntOrNull() ?: 0) + 1
        val events = (firstEvent..STREAM_EVENTS).joinToString("") {
            RouteServerStandIn.event(it, id)
        }
        return answer.header("Content-Type", "text/event-stream").body(events)
    }

    private fun answer(request: Request, status: Status) = Response(status)
        .header(REQUEST_ID_HEADER, request.header(REQUEST_ID_HEADER))
        .header("X-Pomeloladder-Server-Stamp", "stamp-$instance")
        .header("Keep-Alive", "timeout=5")

    private companion object {
        const val SLOTS = 16
        const val STREAM_EVENTS = 3
    }
}
