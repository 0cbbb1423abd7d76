/*
 * Settings of one gateway process, read from a YAML file at startup and again on SIGHUP.
 */
package org.pomeloladder.entry

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.pomeloladder.configuration.Address

/** Limits that operators and the platform have agreed on. Names end with their unit. */
@Serializable
data class BoundSettings(
    val retryRatio: Double,
    val retryWindowS: Double,
    val retrySlack: Double,
    val coldOverage: Double,
    val coldSlack: Double,
    val configMs: Long,
    val drainMs: Long,
    val shutdownGraceS: Double,
    val entryTtlMaxS: Double,
)

/** Port range for traffic between entry VMs; the same on all of them. */
@Serializable
data class PeerPorts(val first: Int, val last: Int)

/**
 * Fields of the settings file. Addresses have the form `IP:PORT`. Seeds are addresses of other
 * entry VMs; their ports are ignored, since the ports for peers are the same on all VMs.
 */
@Serializable
data class GatewaySettings(
    val vm: String,
    val region: String,
    val failureDomain: String,
    val regionsOfDomains: Map<String, String>,
    val host: String,
    val callers: String,
    val readiness: String,
    val directory: String,
    val metricsPort: Int,
    val peerPorts: PeerPorts,
    val seeds: List<String>,
    val platform: String,
    val bounds: BoundSettings,
)

/** Result of [readGatewaySettings]. */
sealed interface GatewaySettingsResult {
    data class Valid(val settings: GatewaySettings) : GatewaySettingsResult

    /** All problems found, each prefixed with the name of its field. */
    data class Invalid(val problems: List<String>) : GatewaySettingsResult
}

/** Decodes and validates the text of a settings file. */
fun readGatewaySettings(yaml: String): GatewaySettingsResult {
    val settings = try {
        Yaml.default.decodeFromString(GatewaySettings.serializer(), yaml)
    } catch (e: YamlException) {
        return GatewaySettingsResult.Invalid(listOf("line ${e.line}: ${e.message}"))
    } catch (e: SerializationException) {
        return GatewaySettingsResult.Invalid(listOf(e.message.orEmpty()))
    }
    val problems = validate(settings)
    return if (problems.isEmpty()) {
        GatewaySettingsResult.Valid(settings)
    } else {
        GatewaySettingsResult.Invalid(problems)
    }
}

private fun validate(settings: GatewaySettings): List<String> = buildList {
    val addresses = mapOf(
        "callers" to settings.callers,
        "readiness" to settings.readiness,
        "directory" to settings.directory,
        "platform" to settings.platform,
    )
    for ((field, text) in addresses) {
        if (parseAddress(text) == null) add("$field: expected IP:PORT, found \"$text\"")
    }
    settings.seeds.forEachIndexed { index, text ->
        if (parseAddress(text) == null) add("seeds[$index]: expected IP:PORT, found \"$text\"")
    }
    if (settings.vm.isBlank()) add("vm: expected a name, found a blank string")
    val region = settings.regionsOfDomains[settings.failureDomain]
    if (region != settings.region) {
        add(
            "regionsOfDomains.${settings.failureDomain}: expected ${settings.region}, found $region",
        )
    }
    val ports = settings.peerPorts
    if (ports.last - ports.first + 1 < MIN_PORTS) {
        add("peerPorts: expected at least $MIN_PORTS ports, found ${ports.first} to ${ports.last}")
    }
    val bounds = settings.bounds
    if (bounds.retryWindowS <= 0) add("bounds.retryWindowS: expected more than 0")
    if (bounds.configMs <= 0) add("bounds.configMs: expected more than 0")
    if (bounds.shutdownGraceS <= 0) add("bounds.shutdownGraceS: expected more than 0")
    if (bounds.entryTtlMaxS <= 0) add("bounds.entryTtlMaxS: expected more than 0")
}

/** Parses `IP:PORT`. Returns null if [text] has a different form. */
fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in PORT_RANGE) null else Address(host, port)
}

/** One port each for gossip, relay and views. */
private const val MIN_PORTS = 3
private val PORT_RANGE = 1..65_535
