/*
 * Reads and checks settings. The YAML tree is walked field by field, so that all problems are reported at once and each
 * with its path.
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
private val ID = Regex("[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
private val HEX = Regex("([0-9a-f]{2})+")
private val SHA256_HEX = Regex("[0-9a-f]{64}")

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
            listOf(SettingsProblem("(file)", "a map of settings", kindOf(root))),
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
        vm = VmId(text("vmId", ID, "an id of letters, digits, - and _")),
        domain = FailureDomainId(text("failureDomain", ID, "an id of letters, digits, - and _")),
        callers = section("callers") { address() },
        peers = section("peers") { address() },
        administration = section("administration") { address("keyHashes") },
        administrationKeyHashes = section("administration") {
            texts("keyHashes", SHA256_HEX, "64 hexadecimal digits").map(::ApiKeyHash).toSet()
        },
        sharedKeyHex = text("sharedKeyHex", HEX, "an even number of hexadecimal digits").also {
            if (it.length < MIN_SHARED_KEY_DIGITS) {
                problem("sharedKeyHex", "at least $MIN_SHARED_KEY_DIGITS digits", "${it.length}")
            }
        },
        platform = section("platform") { address() },
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
            ).also { rejectUnknown() }
        },
        policies = section("policies", isOptional = true) { policyNames() },
    )
    rejectUnknown()
    return settings
}

private fun SettingsReader.policyNames(): PolicyNames {
    val defaults = PolicyNames()
    return PolicyNames(
        route = choice("route", ROUTE_POLICIES, defaults.route),
        queue = choice("queue", QUEUE_POLICIES, defaults.queue),
        hedges = flag("hedges", defaults.hedges),
        outliers = flag("outliers", defaults.outliers),
    ).also { rejectUnknown() }
}

private fun SettingsReader.address(vararg alsoKnown: String): Address {
    val host = text("host", Regex("[0-9.]+|[0-9a-fA-F:]+"), "an IP number")
    val port = number("port", 1L..65_535L, null).toInt()
    alsoKnown.forEach(::markKnown)
    rejectUnknown()
    return Address(host, port)
}

/** Walks one YAML map and collects problems. Missing values are replaced so that reading can go on. */
internal class SettingsReader(
    private val map: YamlMap,
    private val path: String,
    val problems: MutableList<SettingsProblem> = ArrayList(),
) {
    private val known = HashSet<String>()

    fun problem(field: String, expected: String, found: String) {
        val problem = SettingsProblem(path + field, expected, found)
        if (problem !in problems) problems += problem
    }

    fun markKnown(field: String) {
        known += field
    }

    fun text(field: String, pattern: Regex, expected: String): String {
        val found = scalar(field)
        if (found == null || !pattern.matches(found)) {
            problem(field, expected, found?.let { "\"$it\"" } ?: describe(field))
        }
        return found.orEmpty()
    }

    fun texts(field: String, pattern: Regex, expected: String): List<String> {
        val values = list(field).map { (it as? YamlScalar)?.content ?: kindOf(it) }
        values.forEachIndexed { index, value ->
            if (!pattern.matches(value)) problem("$field[$index]", expected, "\"$value\"")
        }
        return values
    }

    /** A number in [range]; [default] when the field is missing and a default exists. */
    fun number(field: String, range: LongRange, default: Long?): Long {
        val found = scalar(field)
        if (found == null && default != null && node(field) == null) return default
        val value = found?.toLongOrNull()
        if (value == null || value !in range) {
            val expected = "a whole number from ${range.first} to ${range.last}"
            problem(field, expected, found?.let { "\"$it\"" } ?: describe(field))
            return range.first
        }
        return value
    }

    /** One of [allowed]; [default] when the field is missing. */
    fun choice(field: String, allowed: List<String>, default: String): String {
        if (node(field) == null) return default
        val found = scalar(field)
        if (found in allowed) return checkNotNull(found)
        val expected = "one of ${allowed.joinToString()}"
        problem(field, expected, found?.let { "\"$it\"" } ?: describe(field))
        return default
    }

    /** `true` or `false`; [default] when the field is missing. */
    fun flag(field: String, default: Boolean): Boolean =
        choice(field, listOf("true", "false"), "$default").toBoolean()

    fun <T> section(field: String, isOptional: Boolean = false, read: SettingsReader.() -> T): T {
        val found = node(field)
        val isMissing = found == null || found is YamlNull
        if (found !is YamlMap &&
            !(isMissing && isOptional)
        ) {
            problem(field, "a map", describe(field))
        }
        val inner = found as? YamlMap ?: YamlMap(emptyMap(), map.path)
        // Fields of a missing section are not reported one by one.
        val collected = if (found is YamlMap || isOptional) problems else ArrayList()
        return SettingsReader(inner, "$path$field.", collected).read()
    }

    fun <T> sections(field: String, read: SettingsReader.() -> T): List<T> =
        list(field).mapIndexedNotNull { index, item ->
            if (item is YamlMap) {
                SettingsReader(item, "$path$field[$index].", problems).read()
            } else {
                problem("$field[$index]", "a map", kindOf(item))
                null
            }
        }

    /** Reports fields that no one asked for, so that a misspelt setting is not ignored. */
    fun rejectUnknown() {
        for (key in map.entries.keys) {
            if (key.content !in known) problem(key.content, "a known setting", "an unknown name")
        }
    }

    private fun list(field: String): List<YamlNode> = when (val found = node(field)) {
        null, is YamlNull -> emptyList()
        is YamlList -> found.items
        else -> {
            problem(field, "a list", kindOf(found))
            emptyList()
        }
    }

    private fun scalar(field: String): String? = (node(field) as? YamlScalar)?.content

    private fun node(field: String): YamlNode? {
        known += field
        return map.entries.entries.firstOrNull { it.key.content == field }?.value
    }

    private fun describe(field: String) = node(field)?.let(::kindOf) ?: "nothing"
}

private fun kindOf(node: YamlNode): String = when (node) {
    is YamlMap -> "a map"
    is YamlList -> "a list"
    is YamlNull -> "nothing"
    is YamlScalar -> "\"${node.content}\""
    else -> "a tagged value"
}
