package org.pomeloladder.traffic

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.Address
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Responses of the store, of health checks and of peers' views that stop before their end. */
class CutFetchTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val fetcher = NettyFetcher(group.next(), "127.0.0.1")
    private val server = ScriptedServer()
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        server.close()
        group.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS).await(TIMEOUT_MS)
    }

    private fun get(): CompletableFuture<FetchResult> {
        val result = CompletableFuture<FetchResult>()
        fetcher.get(Address("127.0.0.1", server.port), "/x", TIMEOUT_MS, result::complete)
        return result
    }

    private fun FetchResult.status() = (this as? FetchResult.Completed)?.status

    private fun accept() = server.accept().also {
        sockets += it
        it.readHead()
    }

    /** The results of requests whose responses stop at each of [cuts] and end by [end]. */
    private fun results(
        text: String,
        end: CutResponseTest.End,
        cuts: Iterable<Int>,
    ): Map<Int, FetchResult> {
        val open = cuts.map { cut ->
            val result = get()
            val connection = accept().apply { write(text.take(cut)) }
            if (!end.isLate) {
                end.apply(connection)
                result.get()
            }
            Triple(cut, result, connection)
        }
        if (end.isLate) Thread.sleep(DELIVERY_DELAY_MS)
        return open.associate { (cut, result, connection) ->
            if (end.isLate) end.apply(connection)
            cut to result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }
    }

    // Guards against an empty list of servers, or an empty view, that replaces the one in force.
    @ParameterizedTest
    @EnumSource
    fun `a response that stops before its end is no result`(end: CutResponseTest.End) {
        val head = "HTTP/1.1 200 OK\r\ninstance: i\r\nconnection: close\r\n"
        for (text in listOf(
            head + "content-length: 5\r\n\r\nwhole",
            head + "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nsum: 1\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + head + "content-length: 0\r\n\r\n",
        )) {
            val all = results(text, end, 0..text.length)

            expectThat(all.getValue(text.length).status()).isEqualTo(200)
            val taken = all.filter { it.key < text.length && it.value is FetchResult.Completed }
            expectThat(taken).isEmpty()
        }
        val unframed = head + "\r\n"
        val taken = results(unframed, end, unframed.indices)
            .filterValues { it is FetchResult.Completed }
        expectThat(taken).isEmpty()
    }

    // Guards against a server that counts as healthy because of the status in stray bytes.
    @Test
    fun `the beginning of a response after a complete one is not part of the next`() {
        val first = get()
        val connection = accept()
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\nx: ")
        first.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)

        val second = get()
        // Empty if the connection has been closed, so that the request comes on another one.
        val next = if (connection.readHead().isNotEmpty()) connection else accept()
        next.write("HTTP/1.1 503 Failing\r\ncontent-length: 0\r\n\r\n")

        expectThat(second.get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
            .isA<FetchResult.Completed>().get { status }.isEqualTo(503)
    }

    private companion object {
        const val TIMEOUT_MS = 10_000L
    }
}
