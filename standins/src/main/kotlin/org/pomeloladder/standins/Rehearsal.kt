/*
 * The rehearsal of a build: a store, backend servers and callers for gateways that run while the archive of classes is
 * written. What it makes them do is in the archive; everything else is loaded when it is first met.
 */
package org.pomeloladder.standins

import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import org.pomeloladder.configuration.Address

private const val CALL_TIMEOUT_MS = 2_000
private const val ROUNDS = 4

/** Time for gateways to read the store and to find each other, and between two rounds of calls. */
private const val SETTLE_MS = 1_500L
private const val READY_TRIES = 50
private const val READY_PAUSE_MS = 100L

/** The services `shop` and `model` have servers in north-a, `far` only in south-a. */
private val SERVERS = listOf(
    Triple("shop", "north-a", RouteServerStandIn("i-shop-1")),
    Triple("model", "north-a", RouteServerStandIn("i-model-1")),
    Triple("model", "north-a", RouteServerStandIn("i-model-2")),
    Triple("far", "south-a", RouteServerStandIn("i-far-1")),
)

/**
 * Arguments: the file that receives the store's address, and the caller address of each gateway, first the one whose
 * classes are archived.
 */
fun main(arguments: Array<String>) {
    val store = StoreStandIn()
    store.start()
    for ((service, zone, server) in SERVERS) {
        server.start()
        store.put("servers/${server.instance}", server.entry(service, zone))
    }
    store.put("op/config", config())
    File(arguments[0]).writeText(store.address.toString())
    val gateways = arguments.drop(1).map(::addressOf)
    gateways.forEach(::awaitListener)
    Thread.sleep(SETTLE_MS)
    repeat(ROUNDS) { round ->
        gateways.forEach { callAll(it, round) }
        rehearseTrouble(store, round)
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS / 2)
    }
    Runtime.getRuntime().halt(0)
}

private fun addressOf(text: String) =
    Address(text.substringBefore(':'), text.substringAfter(':').toInt())

/** Each round meets another mood of a server and another change of the store. */
private fun rehearseTrouble(store: StoreStandIn, round: Int) {
    val (service, zone, server) = SERVERS.first()
    server.mood = ServerMood.entries[(round + 1) % ServerMood.entries.size]
    SERVERS[1].third.mood = server.mood
    val state = if (round % 2 == 0) "draining" else "ready"
    store.put("servers/${server.instance}", server.entry(service, zone, state))
}

private fun callAll(gateway: Address, round: Int) {
    for (path in listOf("/pay/x", "/look/x", "/stream/x", "/far/x", "/unknown")) {
        call(gateway, "r-$round-${gateway.host}-$path", path)
    }
}

/** Makes one call and reads its answer to the end; how it ends is of no interest here. */
private fun call(gateway: Address, id: String, path: String) {
    val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n" +
        "X-Pomeloladder-Request-Id: $id\r\nX-Pomeloladder-Deadline-Ms: $CALL_TIMEOUT_MS\r\n" +
        "X-Pomeloladder-Token-Count: 900,120\r\nX-Pomeloladder-Length-Hint: 100\r\n" +
        "X-Pomeloladder-Prompt-Prefix: abc:500,abd:400\r\nContent-Length: 4\r\n\r\nbody"
    try {
        Socket().use { socket ->
            socket.connect(InetSocketAddress(gateway.host, gateway.port), CALL_TIMEOUT_MS)
            socket.soTimeout = CALL_TIMEOUT_MS
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().readAllBytes()
        }
    } catch (e: IOException) {
        System.err.println("rehearsed call to $gateway$path: $e")
    }
}

private fun awaitListener(gateway: Address) {
    repeat(READY_TRIES) {
        try {
            Socket(gateway.host, gateway.port).close()
            return
        } catch (_: IOException) {
            Thread.sleep(READY_PAUSE_MS)
        }
    }
}

private fun config(): String {
    val routes = listOf(
        route("pay", "non_idempotent", "shop"),
        route("look", "idempotent", "shop"),
        route("stream", "streaming", "model"),
        route("far", "idempotent", "far"),
    )
    return """{"Version":1,"Routes":[${routes.joinToString(",")}],"Services":[""" +
        """{"Name":"shop","HealthPath":"/health","MaxConns":9},""" +
        """{"Name":"far","HealthPath":"/health","MaxConns":9},""" +
        """{"Name":"model","HealthPath":"/health","MaxConns":9,""" +
        """"Engine":{"Slots":6,"KvCapacity":9000}}],"Limits":{"MaxHeaderBytes":16384,""" +
        """"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
}

private fun route(name: String, kind: String, service: String) =
    """{"Name":"$name","Host":"shop.example","Prefix":"/$name/","Kind":"$kind",""" +
        """"TimeoutMs":$CALL_TIMEOUT_MS,"SloMs":500,"GapAimMs":500,"Priority":1,""" +
        """"Service":"$service","Attempts":2,"CanResume":true}"""
