package org.pomeloladder.entry

import java.io.File
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

class GatewaySettingsTest {
    private val values = mapOf(
        "Node" to "front-1",
        "Region" to "north",
        "Zone" to "north-a",
        "Zones|json" to """{"north-a": "north"}""",
        "Ip" to "10.0.0.1",
        "Listen.Front" to "10.0.0.1:8144",
        "Listen.ReadyAddress" to "10.0.0.1:8140",
        "Listen.Directory" to "10.0.0.1:8143",
        "PortRange.0" to "7660",
        "PortRange.1" to "7675",
        "Seeds|json" to """["10.0.0.1:8146","10.0.0.2:8146"]""",
        "Provider.Address" to "10.9.0.1:8142",
        "Bounds.RetryRatio" to "0.2",
        "Bounds.BudgetWindowS" to "10",
        "Bounds.RetrySlack" to "56",
        "Bounds.ColdOverage" to "1.5",
        "Bounds.ColdSlack" to "3",
        "Bounds.ConfigMs" to "4000",
        "Bounds.DrainMs" to "4000",
        "Bounds.GraceS" to "8",
        "Bounds.ttl_max_s" to "5",
    )

    private fun render(changes: Map<String, String> = emptyMap()): String {
        val template = File("../deploy/settings.yaml").readText()
        return (values + changes).entries.fold(template) { text, (name, value) ->
            text.replace("{{$name}}", value)
        }
    }

    @Test
    fun `the deployed template renders to valid settings`() {
        val result = readGatewaySettings(render())

        expectThat(result).isA<GatewaySettingsResult.Valid>()
            .get { settings.bounds.retrySlack }.isEqualTo(56.0)
    }

    @Test
    fun `every problem is reported with the name of its field`() {
        val result = readGatewaySettings(
            render(mapOf("Listen.Front" to "nowhere", "PortRange.1" to "7660")),
        )

        expectThat(result).isA<GatewaySettingsResult.Invalid>().get { problems }
            .any { startsWith("callers:") }
            .any { startsWith("peerPorts:") }
    }

    // Guards against a misspelled setting that a default value silently replaces.
    @Test
    fun `an unknown setting is rejected`() {
        val result = readGatewaySettings(render() + "\nmetricPort: 1\n")

        expectThat(result).isA<GatewaySettingsResult.Invalid>()
            .get { problems.single() }.contains("metricPort")
    }
}
