/*
 * The training run for the gateway's class data sharing (CDS) archive. It provides a store, backend
 * servers and callers to gateways while the JVM of one of them records the archive. Only classes
 * that this run makes the gateway load are archived; all others are loaded from the jar files on
 * first use.
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

/**
 * Time for the gateways to read the store and discover each other; half of it separates rounds of
 * calls.
 */
private const val SETTLE_MS = 1_500L
private const val MAX_CONNECT_ATTEMPTS = 50
private const val CONNECT_RETRY_MS = 100L

/** Service, zone and server: `shop` and `model` run in north-a, `far` only in south-a. */
private val SERVERS = listOf(
    Triple("shop", "north-a", RouteServerStandIn("i-shop-1")),
    Triple("model", "north-a", RouteServerStandIn("i-model-1")),
    Triple("model", "north-a", RouteServerStandIn("i-model-2")),
    Triple("far", "south-a", RouteServerStandIn("i-far-1")),
)

/**
 * Arguments: the file to write the store's address to, then the `host:port` at which each gateway
 * accepts calls, starting with the gateway whose classes are archived.
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
        changeServerState(store, round)
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS / 2)
    }
    Runtime.getRuntime().halt(0)
}

private fun addressOf(text: String) =
    Address(text.substringBefore(':'), text.substringAfter(':').toInt())

/**
 * Changes the mode of two servers and the store entry of one in each round, so that the gateways
 * also load the classes that handle failures and store changes.
 */
private fun changeServerState(store: StoreStandIn, round: Int) {
    val (service, zone, server) = SERVERS.first()
    server.mode = ServerMode.entries[(round + 1) % ServerMode.entries.size]
    SERVERS[1].third.mode = server.mode
    val state = if (round % 2 == 0) "draining" else "ready"
    store.put("servers/${server.instance}", server.entry(service, zone, state))
}

private fun callAll(gateway: Address, round: Int) {
    for (path in listOf("/pay/x", "/look/x", "/stream/x", "/far/x", "/unknown")) {
        call(gateway, "r-$round-${gateway.host}-$path", path)
    }
}

/**
 * Sends one request and reads the whole response. The outcome does not matter here, so a failure is
 * only logged.
 */
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
        System.err.println("call to $gateway$path failed: $e")
    }
}

private fun awaitListener(gateway: Address) {
    repeat(MAX_CONNECT_ATTEMPTS) {
        try {
            Socket(gateway.host, gateway.port).close()
            return
        } catch (_: IOException) {
            Thread.sleep(CONNECT_RETRY_MS)
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
