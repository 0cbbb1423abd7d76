/*
 * The settings of one entry process, read from a YAML file when it starts. Nothing is read again later; what changes
 * while the process runs is in the published configuration.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId

private const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** Checked settings. */
data class Settings(
    val vm: VmId,
    val domain: FailureDomainId,
    val callers: Address,
    val peers: Address,
    val administration: Address,
    val administrationKeyHashes: Set<ApiKeyHash>,
    val sharedKeyHex: String,
    val platform: Address,
    val seeds: List<Address>,
    val limits: Limits,
    val policies: PolicyNames = PolicyNames(),
)

/** Bounds that protect one process. */
data class Limits(
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    val maxCallerThreads: Int = 1_024,
    val callerIdleTimeoutMs: Long = 30_000,
    val backendIdleTimeoutMs: Long = 30_000,
)

/** Names of the policies; the defaults are those of production. Others are baselines of experiments. */
data class PolicyNames(
    val route: String = "affinity",
    val queue: String = "fair",
    val hedges: Boolean = true,
    val outliers: Boolean = true,
)

/** One problem of a settings file: where, what was expected, what was found. */
data class SettingsProblem(val path: String, val expected: String, val found: String) {
    override fun toString() = "$path: expected $expected, found $found"
}

/** The outcome of reading settings. */
sealed interface SettingsResult {
    data class Valid(val settings: Settings) : SettingsResult

    /** All problems at once, in the order of the fields. */
    data class Invalid(val problems: List<SettingsProblem>) : SettingsResult
}
