/*
 * The VM lists that the platform publishes: one list of all entry VMs, and one list of backend
 * servers per failure domain. Both may lag behind the actual state.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.Serializable

/** An IP address and a port. */
@Serializable
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/** Whether the platform keeps a VM running or is about to remove it. */
@Serializable
enum class VmState { LIVE, LEAVING }

/** An entry VM with the addresses at which it serves callers and peers. */
@Serializable
data class EntryVmRecord(
    val id: VmId,
    val domain: FailureDomainId,
    val callerAddress: Address,
    val peerAddress: Address,
    val state: VmState = VmState.LIVE,
)

/**
 * A backend server.
 *
 * [concurrency] is the number of calls that it runs at once. If [checksFencing] is true, it rejects
 * an order whose fencing number is lower than the highest that it has seen; other servers ignore
 * that number.
 */
@Serializable
data class BackendServerRecord(
    val id: BackendServerId,
    val domain: FailureDomainId,
    val address: Address,
    val services: Set<ServiceId>,
    val concurrency: Int = 8,
    val checksFencing: Boolean = false,
    val state: VmState = VmState.LIVE,
)

/** All entry VMs as of [revision], which rises with each change and holds the era, if any. */
@Serializable
data class EntryVmList(val revision: Long, val vms: List<EntryVmRecord>)

/** The backend servers of [domain] as of [revision]. */
@Serializable
data class BackendServerList(
    val revision: Long,
    val domain: FailureDomainId,
    val servers: List<BackendServerRecord>,
)
