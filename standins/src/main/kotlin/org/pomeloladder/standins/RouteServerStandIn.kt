/*
 * Stand-in of a backend server on the users' platform: it counts what it runs, signs its answers, and can be full, slow,
 * or lose answers.
 */
package org.pomeloladder.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val REQUEST_ID = "X-Pomeloladder-Request-Id"
private const val EXPECT_INSTANCE = "X-Pomeloladder-Expect-Instance"
private const val WRONG_INSTANCE = 421

/** How the stand-in answers. */
enum class ServerMood { SOUND, FULL, FAILING }

/** One server with the id [instance]. A request takes [workMs]. */
class RouteServerStandIn(val instance: String, private val workMs: Long = 20) : StandIn {
    private val listener = LoopbackListener(0, handler())

    /** How often each request id was run. */
    val runs = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    var mood = ServerMood.SOUND

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    /** The entry that the server keeps in the store. */
    fun entry(service: String, zone: String, state: String = "ready") =
        """{"Service":"$service","Address":"$address","Zone":"$zone","Version":"v1","Slots":6,""" +
            """"State":"$state","ColdLeftMs":0,"Seq":1,"born":1}"""

    private fun handler(): HttpHandler = { request ->
        val expected = request.header(EXPECT_INSTANCE)
        when {
            expected != null && expected != instance -> answer(request, Status(WRONG_INSTANCE, ""))
            mood == ServerMood.FULL ->
                answer(request, Status.SERVICE_UNAVAILABLE).header("X-Pomeloladder-Not-Run", "1")
            else -> run(request)
        }
    }

    private fun run(request: Request): Response {
        val id = request.header(REQUEST_ID).orEmpty()
        runs.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        Thread.sleep(workMs)
        val status = if (mood == ServerMood.FAILING) Status.INTERNAL_SERVER_ERROR else Status.OK
        return answer(request, status).body("answer of $instance to $id")
    }

    private fun answer(request: Request, status: Status) = Response(status)
        .header(REQUEST_ID, request.header(REQUEST_ID))
        .header("X-Pomeloladder-Server-Stamp", "stamp-$instance")
        .header("Keep-Alive", "timeout=5")
}
