package org.pomeloladder.daemon

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlMap
import java.io.File
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.SubscriberGroup
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Inspection
import org.pomeloladder.decisions.Self
import org.pomeloladder.decisions.World
import org.pomeloladder.peer.PeerTrafficMeter
import org.pomeloladder.runtime.Metrics
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AdministrationApiTest {
    private val unusedAddress = Address("127.0.0.1", 1)
    private val self =
        Self(
            VmId("norte-1"),
            Incarnation(1),
            FailureDomainId("norte-a"),
            unusedAddress,
            unusedAddress,
        )
    private val world = World(self)
    private val norte = RegionId("norte")
    private val group = SubscriberGroupId("cafes")
    private val control = ControlAccess { event -> (event as? Inspection)?.read?.invoke(world, 5) }
    private val api = AdministrationApi(
        control,
        Metrics(peerBytes(PeerTrafficMeter())),
        setOf(hashApiKey("secret")),
    )
    private val handler = api.handler()

    init {
        val document = Configuration(regions = mapOf(norte to Region(setOf(self.domain))))
        world.configuration.snapshot =
            ConfigSnapshot(ConfigSequence(7), ConfigVersion(3), document)
    }

    @Test
    fun `all routes except metrics and health require an administration key`() {
        val publicRoutes = api.routeTable.filter {
            send(it.method, it.path, key = null).status.successful
        }

        expectThat(publicRoutes.map { it.path }).isEqualTo(listOf("/healthz", "/metrics"))
    }

    // Guards against administration of the system by subscribers.
    @Test
    fun `an API key of a subscriber is not accepted as an administration key`() {
        val response = send(Method.POST, "/v1/drain", key = "key-of-a-subscriber")

        expectThat(response.status).isEqualTo(Status.UNAUTHORIZED)
        expectThat(response.reason()).isEqualTo("unauthorized")
        expectThat(response.header("WWW-Authenticate")).isEqualTo("Bearer")
    }

    @Test
    fun `an unknown path, method or request id gets typed JSON`() {
        expectThat(send(Method.GET, "/v2/none").reason()).isEqualTo("unknown-path")
        expectThat(send(Method.DELETE, "/v1/groups").reason()).isEqualTo("wrong-method")
        expectThat(send(Method.GET, "/v1/requests/r1").reason()).isEqualTo("unknown-request")
    }

    @Test
    fun `the check accepts a valid patch and returns it unchanged`() {
        val patch = patch(3, SubscriberGroup(emptySet(), setOf(norte)))

        val check = check(patch)

        expectThat(check.verdict).isEqualTo("accepted")
        expectThat(check.versionAfter).isEqualTo(4)
        expectThat(check.changes.single()) {
            get { path }.isEqualTo("groups.cafes")
            get { before }.isNull()
        }
        val published = check.publish.toString()
        expectThat(daemonJson.decodeFromString<Patch>(published)).isEqualTo(patch)
        expectThat(world.configuration.snapshot?.version).isEqualTo(ConfigVersion(3))
    }

    @Test
    fun `a patch with a stale base version or a violated rule is not returned for publishing`() {
        val stale = check(patch(2, SubscriberGroup(emptySet(), setOf(norte))))
        val invalid = check(patch(3, SubscriberGroup(emptySet(), emptySet())))

        expectThat(stale.verdict).isEqualTo("conflict")
        expectThat(stale.publish).isNull()
        expectThat(invalid.verdict).isEqualTo("invalid")
        expectThat(invalid.problems.single().path).isEqualTo("groups.cafes.regions")
        expectThat(invalid.publish).isNull()
    }

    @Test
    fun `a body that is not a patch is refused as a bad request`() {
        val response = send(Method.POST, "/v1/configuration/check", body = "{\"base\":")

        expectThat(response.status).isEqualTo(Status.BAD_REQUEST)
        expectThat(response.reason()).isEqualTo("bad-request")
    }

    @Test
    fun `the OpenAPI document lists exactly the served routes`() {
        val document = Yaml.default
            .parseToYamlNode(File("../docs/administration.yaml").readText())
        val paths = (document as YamlMap)
            .get<YamlMap>("paths")
        val documented = paths?.entries.orEmpty().flatMap { (path, operations) ->
            (operations as YamlMap).entries.keys
                .map { "${it.content.uppercase()} ${path.content}" }
        }

        expectThat(documented.sorted())
            .isEqualTo(api.routeTable.map { "${it.method} ${it.path}" }.sorted())
    }

    @Test
    fun `metrics contain the configuration version, which reveals a lagging process`() {
        val text = send(Method.GET, "/metrics", key = null).bodyString()

        expectThat(text).contains("pomeloladder_config_version 3.0")
        expectThat(text).contains("pomeloladder_live_entry_vms 0.0")
    }

    private fun patch(base: Long, put: SubscriberGroup) =
        Patch(ConfigVersion(base), listOf(Change.PutGroup(group, put)))

    private fun check(patch: Patch): PatchCheck {
        val body = daemonJson.encodeToString(Patch.serializer(), patch)
        val response = send(Method.POST, "/v1/configuration/check", body = body)
        return daemonJson.decodeFromString(response.bodyString())
    }

    private fun send(method: Method, path: String, key: String? = "secret", body: String = "") =
        handler(
            Request(method, path).body(body)
                .let { if (key == null) it else it.header("Authorization", "Bearer $key") },
        )

    private fun Response.reason(): String {
        val error = daemonJson.parseToJsonElement(bodyString()).jsonObject["error"]
        expectThat(error).isNotNull()
        return error?.jsonObject?.get("reason")?.jsonPrimitive?.content.orEmpty()
    }
}
