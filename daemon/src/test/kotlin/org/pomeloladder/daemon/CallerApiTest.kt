package org.pomeloladder.daemon

import java.lang.reflect.Proxy
import java.net.ServerSocket
import java.net.Socket
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.then
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.Subscriber
import org.pomeloladder.configuration.SubscriberGroup
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Inspection
import org.pomeloladder.decisions.PublishView
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RefuseRequest
import org.pomeloladder.decisions.RequestArrived
import org.pomeloladder.decisions.Self
import org.pomeloladder.decisions.TrafficView
import org.pomeloladder.decisions.World
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val IDLE_TIMEOUT_MS = 500L
private const val SOCKET_TIMEOUT_MS = 30_000

class CallerApiTest {
    private val address = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val domain = FailureDomainId("norte-a")
    private val self = Self(VmId("norte-1"), Incarnation(1), domain, address, address)
    private val world = World(self)
    private val norte = RegionId("norte")
    private val cafes = SubscriberGroupId("cafes")
    private val chat = ServiceId("chat")
    private val traffic = TrafficPlane(
        unusedDependency(),
        unusedDependency(),
        unusedDependency(),
        emptyList(),
        {},
        {},
    )
    private val control = ControlAccess(::handleEvent)
    private val limits = Limits(maxBodyBytes = 2_048, callerIdleTimeoutMs = IDLE_TIMEOUT_MS)
    private val requestIds = RequestIds(self.vm, self.incarnation)
    private val api = CallerApi(traffic, control, requestIds, limits)
    private val server = listener(address, limits, jsonErrors().then(api.handler())).start()
    private val client = HttpClient()
    private val http = JettyClient(client)

    init {
        val document = Configuration(
            regions = mapOf(norte to Region(setOf(domain))),
            groups = mapOf(cafes to SubscriberGroup(setOf(chat), setOf(norte))),
            services = mapOf(chat to Service.LanguageModel(ModelId("general-1"))),
            subscribers = mapOf(
                SubscriberId("arica") to Subscriber(cafes, setOf(hashApiKey("good"))),
            ),
        )
        val snapshot = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), document)
        traffic.execute(PublishView(TrafficView(snapshot, emptyMap(), true, false)))
    }

    @AfterEach
    fun stop() {
        client.stop()
        server.stop()
    }

    @Test
    fun `an oversized body is refused with typed JSON and the next call succeeds`() =
        expectRefusal(413, "bad-request", "x".repeat(100_000))

    @Test
    fun `a body that is not JSON is refused and the next call succeeds`() =
        expectRefusal(400, "bad-request", "{\"mod")

    @Test
    fun `an unknown model is refused and the next call succeeds`() = expectRefusal(
        404,
        "unknown-service",
        """{"model":"none","messages":[{"role":"user","content":"hi"}]}""",
    )

    @Test
    fun `an invalid API key is refused and the next call succeeds`() =
        expectRefusal(401, "unauthorized", "{}", key = "bad")

    @Test
    fun `an unknown path and a wrong method get typed JSON and the next call succeeds`() {
        expectRefusal(404, "unknown-path", "", path = "/v2/none")
        expectRefusal(405, "wrong-method", "", path = "/v1/entries")
    }

    @Test
    fun `incomplete headers do not hold a connection beyond the idle timeout`() {
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.getOutputStream().write("GET /v1/entries HTTP/1.1\r\nHost: x\r\n".toByteArray())
            // Reads until the listener closes the connection. If it does not, the read times out.
            socket.getInputStream().readAllBytes()
        }

        expectNextCallSucceeds()
    }

    private fun expectRefusal(
        status: Int,
        reason: String,
        body: String,
        key: String = "good",
        path: String = "/v1/chat/completions",
    ) {
        val response = http(request(Method.POST, path, key).body(body))

        expectThat(response.status.code).isEqualTo(status)
        expectThat(reasonOf(response.bodyString())).isEqualTo(reason)
        expectNextCallSucceeds()
    }

    private fun expectNextCallSucceeds() {
        val response = http(request(Method.GET, "/v1/entries", "good"))

        expectThat(response.status.code).isEqualTo(200)
    }

    private fun reasonOf(body: String): String = try {
        daemonJson.decodeFromString<ErrorResponse>(body).error.reason
    } catch (_: SerializationException) {
        "not typed JSON: $body"
    }

    private fun request(method: Method, path: String, key: String) =
        Request(method, "http://$address$path").header("Authorization", "Bearer $key")

    /** Replaces the control thread: refuses every request and runs inspections of the world. */
    private fun handleEvent(event: Event) = when (event) {
        is Inspection -> event.read(world, 0)
        is RequestArrived -> {
            val refusal = Refusal(RefusalReason.UNKNOWN_SERVICE)
            traffic.execute(RefuseRequest(event.spec.id, refusal))
        }
        else -> Unit
    }

    /** A dependency that the tested calls do not use. */
    private inline fun <reified T> unusedDependency(): T =
        Proxy.newProxyInstance(T::class.java.classLoader, arrayOf(T::class.java)) { _, method, _ ->
            check(method.name == "updatePeers") { "unexpected call of $method" }
        } as T
}
