/*
 * The VM lists that the platform publishes: one of all entry VMs, and one of backend servers for each failure domain.
 * Both lag behind the truth.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.Serializable

/** An IP number and a port. */
@Serializable
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/** Whether the platform keeps a VM or is about to take it away. */
@Serializable
enum class VmState { LIVE, LEAVING }

/** One entry VM with the addresses where it serves callers and peers. */
@Serializable
data class EntryVmRecord(
    val id: VmId,
    val domain: FailureDomainId,
    val callerAddress: Address,
    val peerAddress: Address,
    val state: VmState = VmState.LIVE,
)

/**
 * One backend server.
 *
 * [concurrency] is how many calls it runs at once. [checksFencing] says that it refuses an order whose fencing number
 * is older than the highest it has seen; other servers ignore that number.
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

/** All entry VMs, as of [revision]. Revisions only grow. */
@Serializable
data class EntryVmList(val revision: Long, val vms: List<EntryVmRecord>)

/** The backend servers of [domain], as of [revision]. */
@Serializable
data class BackendServerList(
    val revision: Long,
    val domain: FailureDomainId,
    val servers: List<BackendServerRecord>,
)
