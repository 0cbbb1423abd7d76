/*
 * Reads and validates settings. The YAML tree is read field by field, so that all problems are
 * reported together, each with its path.
 */
package org.pomeloladder.daemon

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId

private const val MIN_SHARED_KEY_DIGITS = 32
private val ROUTE_POLICIES = listOf("affinity", "random", "least-reported-load")
private val QUEUE_POLICIES = listOf("fair", "first-come")
private val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
private val HEX_PATTERN = Regex("([0-9a-f]{2})+")
private val SHA256_PATTERN = Regex("[0-9a-f]{64}")

/** Reads settings from the text of a YAML file. */
fun readSettings(yaml: String): SettingsResult {
    val root = try {
        Yaml.default.parseToYamlNode(yaml)
    } catch (e: YamlException) {
        val detail = e.message.lineSequence().firstOrNull { it.isNotBlank() } ?: "a syntax error"
        val found = "line ${e.line}: $detail"
        return SettingsResult.Invalid(listOf(SettingsProblem("(file)", "valid YAML", found)))
    }
    if (root !is YamlMap) {
        return SettingsResult.Invalid(
            listOf(SettingsProblem("(file)", "a map of settings", describeNode(root))),
        )
    }
    val reader = SettingsReader(root, "")
    val settings = reader.settings()
    val problems = reader.problems
    return if (problems.isEmpty()) {
        SettingsResult.Valid(
            settings,
        )
    } else {
        SettingsResult.Invalid(problems)
    }
}

private fun SettingsReader.settings(): Settings {
    val defaults = Limits()
    val settings = Settings(
        vm = VmId(text("vmId", ID_PATTERN, "an id of letters, digits, - and _")),
        domain = FailureDomainId(
            text("failureDomain", ID_PATTERN, "an id of letters, digits, - and _"),
        ),
        callerListenAddress = section("callers") { address() },
        peerListenAddress = section("peers") { address() },
        administrationListenAddress = section("administration") { address("keyHashes") },
        administrationKeyHashes = section("administration") {
            texts("keyHashes", SHA256_PATTERN, "64 hexadecimal digits").map(::ApiKeyHash).toSet()
        },
        sharedKeyHex = text(
            "sharedKeyHex",
            HEX_PATTERN,
            "an even number of hexadecimal digits",
        ).also {
            if (it.length < MIN_SHARED_KEY_DIGITS) {
                report("sharedKeyHex", "at least $MIN_SHARED_KEY_DIGITS digits", "${it.length}")
            }
        },
        platformAddress = section("platform") { address() },
        seeds = sections("seeds") { address() },
        limits = section("limits", isOptional = true) {
            Limits(
                maxBodyBytes = number(
                    "maxBodyBytes",
                    1_024L..1_073_741_824L,
                    defaults.maxBodyBytes.toLong(),
                ).toInt(),
                maxCallerThreads = number(
                    "maxCallerThreads",
                    8L..65_536L,
                    defaults.maxCallerThreads.toLong(),
                ).toInt(),
                callerIdleTimeoutMs = number(
                    "callerIdleTimeoutMs",
                    100L..600_000L,
                    defaults.callerIdleTimeoutMs,
                ),
                backendIdleTimeoutMs = number(
                    "backendIdleTimeoutMs",
                    100L..600_000L,
                    defaults.backendIdleTimeoutMs,
                ),
            ).also { reportUnknownFields() }
        },
        policies = section("policies", isOptional = true) { policyNames() },
    )
    reportUnknownFields()
    return settings
}

private fun SettingsReader.policyNames(): PolicyNames {
    val defaults = PolicyNames()
    return PolicyNames(
        route = choice("route", ROUTE_POLICIES, defaults.route),
        queue = choice("queue", QUEUE_POLICIES, defaults.queue),
        hedges = flag("hedges", defaults.hedges),
        outliers = flag("outliers", defaults.outliers),
    ).also { reportUnknownFields() }
}

private fun SettingsReader.address(vararg otherFields: String): Address {
    val host = text("host", Regex("[0-9.]+|[0-9a-fA-F:]+"), "an IP number")
    val port = number("port", 1L..65_535L, null).toInt()
    otherFields.forEach(::allowField)
    reportUnknownFields()
    return Address(host, port)
}

/**
 * Reads the fields of one YAML map and collects problems. Missing and invalid values are replaced
 * by placeholders so that reading can continue.
 */
internal class SettingsReader(
    private val map: YamlMap,
    private val path: String,
    val problems: MutableList<SettingsProblem> = ArrayList(),
) {
    private val readKeys = HashSet<String>()

    fun report(field: String, expected: String, found: String) {
        val problem = SettingsProblem(path + field, expected, found)
        if (problem !in problems) problems += problem
    }

    fun allowField(field: String) {
        readKeys += field
    }

    fun text(field: String, pattern: Regex, expected: String): String {
        val found = scalar(field)
        if (found == null || !pattern.matches(found)) {
            report(field, expected, found?.let { "\"$it\"" } ?: describeField(field))
        }
        return found.orEmpty()
    }

    fun texts(field: String, pattern: Regex, expected: String): List<String> {
        val values = list(field).map { (it as? YamlScalar)?.content ?: describeNode(it) }
        values.forEachIndexed { index, value ->
            if (!pattern.matches(value)) report("$field[$index]", expected, "\"$value\"")
        }
        return values
    }

    /** Reads a number in [range]. A missing field yields [default] if that is not null. */
    fun number(field: String, range: LongRange, default: Long?): Long {
        val found = scalar(field)
        if (found == null && default != null && node(field) == null) return default
        val value = found?.toLongOrNull()
        if (value == null || value !in range) {
            val expected = "a whole number from ${range.first} to ${range.last}"
            report(field, expected, found?.let { "\"$it\"" } ?: describeField(field))
            return range.first
        }
        return value
    }

    /** Reads one of the [allowed] values, or [default] if the field is missing. */
    fun choice(field: String, allowed: List<String>, default: String): String {
        if (node(field) == null) return default
        val found = scalar(field)
        if (found in allowed) return checkNotNull(found)
        val expected = "one of ${allowed.joinToString()}"
        report(field, expected, found?.let { "\"$it\"" } ?: describeField(field))
        return default
    }

    /** Reads `true` or `false`, or [default] if the field is missing. */
    fun flag(field: String, default: Boolean): Boolean =
        choice(field, listOf("true", "false"), "$default").toBoolean()

    fun <T> section(field: String, isOptional: Boolean = false, read: SettingsReader.() -> T): T {
        val found = node(field)
        val isMissing = found == null || found is YamlNull
        if (found !is YamlMap &&
            !(isMissing && isOptional)
        ) {
            report(field, "a map", describeField(field))
        }
        val inner = found as? YamlMap ?: YamlMap(emptyMap(), map.path)
        // Problems inside a missing section are discarded; only the section itself is reported.
        val collected = if (found is YamlMap || isOptional) problems else ArrayList()
        return SettingsReader(inner, "$path$field.", collected).read()
    }

    fun <T> sections(field: String, read: SettingsReader.() -> T): List<T> =
        list(field).mapIndexedNotNull { index, item ->
            if (item is YamlMap) {
                SettingsReader(item, "$path$field[$index].", problems).read()
            } else {
                report("$field[$index]", "a map", describeNode(item))
                null
            }
        }

    /** Reports fields that were not read, so that a misspelt setting is not silently ignored. */
    fun reportUnknownFields() {
        for (key in map.entries.keys) {
            if (key.content !in readKeys) report(key.content, "a known setting", "an unknown name")
        }
    }

    private fun list(field: String): List<YamlNode> = when (val found = node(field)) {
        null, is YamlNull -> emptyList()
        is YamlList -> found.items
        else -> {
            report(field, "a list", describeNode(found))
            emptyList()
        }
    }

    private fun scalar(field: String): String? = (node(field) as? YamlScalar)?.content

    private fun node(field: String): YamlNode? {
        readKeys += field
        return map.entries.entries.firstOrNull { it.key.content == field }?.value
    }

    private fun describeField(field: String) = node(field)?.let(::describeNode) ?: "nothing"
}

private fun describeNode(node: YamlNode): String = when (node) {
    is YamlMap -> "a map"
    is YamlList -> "a list"
    is YamlNull -> "nothing"
    is YamlScalar -> "\"${node.content}\""
    else -> "a tagged value"
}
