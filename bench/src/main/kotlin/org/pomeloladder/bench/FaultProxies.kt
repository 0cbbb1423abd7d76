/*
 * The fault-injecting proxies of one deployment: in front of each entry VM's peer listener and each
 * backend server, and between each failure domain and the platform.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentHashMap
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.FaultProxy
import org.pomeloladder.standins.SourceIdentifier

/** Creates the proxies on demand and injects faults into them. */
class FaultProxies : AutoCloseable {
    private val peers = ConcurrentHashMap<VmId, FaultProxy>()
    private val backends = ConcurrentHashMap<BackendServerId, FaultProxy>()
    private val platforms = ConcurrentHashMap<FailureDomainId, FaultProxy>()

    // The first frame of a peer connection contains the VM id of the process that opened it. The
    // longest match wins, because one id can be a prefix of another.
    private val dialerOf = SourceIdentifier { bytes ->
        val text = bytes.toString(Charsets.ISO_8859_1)
        peers.keys.map { it.value }.filter { it in text }.maxByOrNull { it.length }.orEmpty()
    }

    internal fun peer(vm: VmId, address: Address): Address =
        peers.computeIfAbsent(vm) { FaultProxy(address, dialerOf).also(FaultProxy::start) }.address

    internal fun backend(server: BackendServerId, address: Address): Address =
        backends.computeIfAbsent(server) { FaultProxy(address).also(FaultProxy::start) }.address

    internal fun platform(domain: FailureDomainId, address: Address): Address =
        platforms.computeIfAbsent(domain) { FaultProxy(address).also(FaultProxy::start) }.address

    /** Injects [fault] into the peer connections that [from] opened to [to]. */
    fun injectPeerFault(from: VmId, to: VmId, fault: Fault) =
        peers.getValue(to).inject(fault, from.value)

    /** Injects [fault] into all connections to [server]. */
    fun injectBackendFault(server: BackendServerId, fault: Fault) =
        backends.getValue(server).inject(fault)

    /** Injects [fault] into all connections from [domain] to the platform. */
    fun injectPlatformFault(domain: FailureDomainId, fault: Fault) =
        platforms.getValue(domain).inject(fault)

    /** Ends all faults. */
    fun heal() = allProxies().forEach(FaultProxy::heal)

    override fun close() = allProxies().forEach(FaultProxy::close)

    private fun allProxies() = peers.values + backends.values + platforms.values
}
