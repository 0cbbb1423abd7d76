/*
 * Settings of one gateway process, read from a YAML file at its start and again on SIGHUP.
 */
package org.pomeloladder.entry

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.pomeloladder.configuration.Address

/** Limits that operators agreed with the platform, with their units. */
@Serializable
data class BoundSettings(
    val retryRatio: Double,
    val retryWindowS: Double,
    val retrySlack: Double,
    val coldOverage: Double,
    val coldSlack: Double,
    val drainMs: Long,
    val shutdownGraceS: Double,
    val entryTtlMaxS: Double,
)

/** Ports for traffic between entry VMs; the same on all of them. */
@Serializable
data class PeerPorts(val first: Int, val last: Int)

/**
 * The file's fields. Addresses are written `IP:PORT`. Seeds name other entry VMs; their port is not used, since the
 * ports for peers are the same on all VMs.
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

/** The outcome of reading settings. */
sealed interface GatewaySettingsResult {
    data class Valid(val settings: GatewaySettings) : GatewaySettingsResult

    /** All problems that were found, each with the name of its field. */
    data class Invalid(val problems: List<String>) : GatewaySettingsResult
}

/** Reads and checks settings from the text of a YAML file. */
fun readGatewaySettings(yaml: String): GatewaySettingsResult {
    val settings = try {
        Yaml.default.decodeFromString(GatewaySettings.serializer(), yaml)
    } catch (e: YamlException) {
        return GatewaySettingsResult.Invalid(listOf("line ${e.line}: ${e.message}"))
    } catch (e: SerializationException) {
        return GatewaySettingsResult.Invalid(listOf(e.message.orEmpty()))
    }
    val problems = problemsOf(settings)
    return if (problems.isEmpty()) {
        GatewaySettingsResult.Valid(settings)
    } else {
        GatewaySettingsResult.Invalid(problems)
    }
}

private fun problemsOf(settings: GatewaySettings): List<String> = buildList {
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
    if (settings.vm.isBlank()) add("vm: expected a name, found nothing")
    val region = settings.regionsOfDomains[settings.failureDomain]
    if (region != settings.region) {
        add(
            "regionsOfDomains.${settings.failureDomain}: expected ${settings.region}, found $region",
        )
    }
    val ports = settings.peerPorts
    if (ports.last - ports.first + 1 < PEER_PORTS) {
        add("peerPorts: expected at least $PEER_PORTS ports, found ${ports.first} to ${ports.last}")
    }
    val bounds = settings.bounds
    if (bounds.retryWindowS <= 0) add("bounds.retryWindowS: expected more than 0")
    if (bounds.shutdownGraceS <= 0) add("bounds.shutdownGraceS: expected more than 0")
    if (bounds.entryTtlMaxS <= 0) add("bounds.entryTtlMaxS: expected more than 0")
}

/** Reads `IP:PORT`; null when [text] is something else. */
fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in PORTS) null else Address(host, port)
}

/** Gossip, relay and views each take a port. */
private const val PEER_PORTS = 3
private val PORTS = 1..65_535
