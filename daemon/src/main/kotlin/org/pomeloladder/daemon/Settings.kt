/*
 * The settings of one entry process, read from a YAML file at startup only. Values that change
 * while the process runs belong to the published configuration.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId

private const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** Validated settings. */
data class Settings(
    val vm: VmId,
    val domain: FailureDomainId,
    val callerListenAddress: Address,
    val peerListenAddress: Address,
    val administrationListenAddress: Address,
    val administrationKeyHashes: Set<ApiKeyHash>,
    val sharedKeyHex: String,
    val platformAddress: Address,
    val seeds: List<Address>,
    val limits: Limits,
    val policies: PolicyNames = PolicyNames(),
)

/** Resource limits of one process. */
data class Limits(
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    val maxCallerThreads: Int = 1_024,
    val callerIdleTimeoutMs: Long = 30_000,
    val backendIdleTimeoutMs: Long = 30_000,
)

/** Policy names. Production uses the defaults; the other values are baselines for experiments. */
data class PolicyNames(
    val route: String = "affinity",
    val queue: String = "fair",
    val hedges: Boolean = true,
    val outliers: Boolean = true,
)

/** A problem in a settings file: the path of the field, the expected value and the value found. */
data class SettingsProblem(val path: String, val expected: String, val found: String) {
    override fun toString() = "$path: expected $expected, found $found"
}

/** The result of reading a settings file. */
sealed interface SettingsResult {
    data class Valid(val settings: Settings) : SettingsResult

    /** All problems of the file, in the order of the fields. */
    data class Invalid(val problems: List<SettingsProblem>) : SettingsResult
}
