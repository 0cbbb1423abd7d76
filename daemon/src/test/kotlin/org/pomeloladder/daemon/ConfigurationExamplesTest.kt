package org.pomeloladder.daemon

import java.io.File
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.problems
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ConfigurationExamplesTest {
    @Test
    fun `the Krabia Linka example is valid and has the sizes of the design page`() =
        verifyExample("krabia-linka", engines = 13)

    @Test
    fun `the Espumadora Andina example is valid and has the sizes of the design page`() =
        verifyExample("espumadora-andina", engines = 8)

    private fun verifyExample(name: String, engines: Int) {
        val root = Json.parseToJsonElement(
            File("../docs/examples/$name.json").readText(),
        ).jsonObject
        val document: Configuration = Json.decodeFromJsonElement(
            Configuration.serializer(),
            root.getValue("configuration"),
        )
        val vms = Json.decodeFromJsonElement(
            EntryVmList.serializer(),
            root.getValue("entryVms"),
        ).vms
        val servers = serversOf(root)
        val (models, plain) = servers.partition { server ->
            server.services.all { document.services.getValue(it) is Service.LanguageModel }
        }

        expectThat(document.problems()).isEmpty()
        expectThat(document.regions.keys).hasSize(3)
        expectThat(vms).hasSize(8)
        expectThat(models.size).isEqualTo(engines)
        expectThat(plain.size).isEqualTo(3)
        val domains = vms.map { it.domain } + servers.map { it.domain }
        expectThat(domains.filter { document.regionOf(it) == null }).isEmpty()
    }

    private fun serversOf(root: JsonObject) = root.getValue("backendServers").jsonArray.flatMap {
        Json.decodeFromJsonElement(BackendServerList.serializer(), it).servers
    }
}
