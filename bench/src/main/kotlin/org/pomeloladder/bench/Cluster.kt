/*
 * A deployment on loopback: stand-ins run in this process, daemons as separate processes.
 */
package org.pomeloladder.bench

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.Subscriber
import org.pomeloladder.configuration.SubscriberGroup
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.daemon.hashApiKey
import org.pomeloladder.standins.EngineStandIn
import org.pomeloladder.standins.OrderServiceStandIn
import org.pomeloladder.standins.PlatformStandIn

private const val ORDER_CONCURRENCY = 16
private const val SEEDS_PER_DOMAIN = 2

/** A deployment. Call [start] before use; [close] ends the processes that it started. */
class Cluster(private val spec: ClusterSpec) : AutoCloseable {
    val platform = PlatformStandIn(configurationOf(spec))

    /** The backend servers of each failure domain as first published. */
    val backends = LinkedHashMap<FailureDomainId, List<BackendServerRecord>>()
    val engines = LinkedHashMap<BackendServerId, EngineStandIn>()
    val orderServices = LinkedHashMap<BackendServerId, OrderServiceStandIn>()
    val daemons = LinkedHashMap<VmId, DaemonProcess>()
    private val faultProxies = if (spec.hasFaultProxies) FaultProxies() else null

    /** The fault proxies. Fails if the deployment was specified without them. */
    val proxies: FaultProxies
        get() = checkNotNull(faultProxies) { "fault proxies are not enabled in the cluster spec" }

    /** Kills the daemons when a signal ends this process, because [close] does not run then. */
    private val shutdownHook = Thread { daemons.values.forEach(DaemonProcess::kill) }

    fun start() {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        platform.start()
        val entryVms = ArrayList<EntryVmRecord>()
        for (domain in spec.domains) {
            backends[domain.id] = startBackends(domain).also { records ->
                platform.publishBackends(domain.id, records)
            }
            entryVms += entryVmsOf(domain)
        }
        val published = entryVms.map { it.behindProxy() }
        platform.publishEntryVms(published)
        val seeds = seedsOf(published)
        for (record in entryVms) {
            val address = platformAddressOf(record)
            daemons[record.id] = DaemonProcess(
                record = record,
                administration = freeAddress(),
                platform = address,
                seeds = seeds,
                policies = spec.policies,
                usesOptimizingCompiler = spec.usesOptimizingCompiler,
            )
        }
        daemons.values.forEach(DaemonProcess::start)
        daemons.values.forEach(DaemonProcess::awaitReady)
    }

    /** Returns the backend servers of [domain] as the platform currently lists them. */
    fun backendRecords(domain: FailureDomainId): List<BackendServerRecord> =
        platform.publishedBackends(domain)

    override fun close() {
        daemons.values.forEach(DaemonProcess::close)
        removeShutdownHook()
        engines.values.forEach(EngineStandIn::close)
        orderServices.values.forEach(OrderServiceStandIn::close)
        platform.close()
        faultProxies?.close()
    }

    private fun removeShutdownHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        } catch (_: IllegalStateException) {
            // The process is already shutting down and runs the hook.
            return
        }
    }

    /** Two VMs per domain, so that a starting VM finds a peer while one VM of a domain is down. */
    private fun seedsOf(vms: List<EntryVmRecord>): List<Address> = vms
        .groupBy { it.domain }
        .values
        .flatMap { it.take(SEEDS_PER_DOMAIN) }
        .map { it.peerAddress }

    private fun platformAddressOf(record: EntryVmRecord): Address =
        faultProxies?.platform(record.domain, platform.address) ?: platform.address

    /** Returns the record with the peer address of its fault proxy, if proxies are enabled. */
    private fun EntryVmRecord.behindProxy(): EntryVmRecord {
        val proxies = faultProxies ?: return this
        return copy(peerAddress = proxies.peer(id, peerAddress))
    }

    private fun backendAddress(id: BackendServerId, address: Address): Address =
        faultProxies?.backend(id, address) ?: address

    private fun startBackends(domain: DomainSpec): List<BackendServerRecord> {
        val records = ArrayList<BackendServerRecord>()
        repeat(domain.engines) { index ->
            val id = BackendServerId("${domain.id}-engine-${index + 1}")
            val engine = EngineStandIn(domain.engineProfile).also { it.start() }
            engines[id] = engine
            records += BackendServerRecord(
                id = id,
                domain = domain.id,
                address = backendAddress(id, engine.address),
                services = setOf(ServiceId(spec.modelService)),
                concurrency = domain.engineConcurrency,
            )
        }
        repeat(domain.orderServers) { index ->
            val id = BackendServerId("${domain.id}-orders-${index + 1}")
            val service = OrderServiceStandIn().also { it.start() }
            orderServices[id] = service
            records += BackendServerRecord(
                id = id,
                domain = domain.id,
                address = backendAddress(id, service.address),
                services = setOf(ServiceId(spec.orderService)),
                concurrency = ORDER_CONCURRENCY,
            )
        }
        return records
    }

    private fun entryVmsOf(domain: DomainSpec) = (1..domain.entryVms).map { index ->
        EntryVmRecord(
            id = VmId("${domain.id}-$index"),
            domain = domain.id,
            callerAddress = freeAddress(),
            peerAddress = freeAddress(),
        )
    }
}

private fun configurationOf(spec: ClusterSpec) = Configuration(
    regions = spec.domains.groupBy { it.region }
        .mapValues { (_, domains) -> Region(domains.map { it.id }.toSet()) },
    groups = spec.subscribers.associate { subscriber ->
        SubscriberGroupId(subscriber.name) to SubscriberGroup(
            services = setOf(ServiceId(spec.modelService), ServiceId(spec.orderService)),
            regions = subscriber.regions,
            weight = subscriber.weight,
            deadlineMs = subscriber.deadlineMs,
        )
    },
    services = mapOf(
        ServiceId(spec.modelService) to Service.LanguageModel(ModelId("general-1")),
        ServiceId(spec.orderService) to Service.Plain(idempotent = false),
    ),
    subscribers = spec.subscribers.associate { subscriber ->
        SubscriberId(subscriber.name) to Subscriber(
            group = SubscriberGroupId(subscriber.name),
            keyHashes = setOf(hashApiKey(subscriber.apiKey)),
            homeRegion = subscriber.homeRegion?.let { org.pomeloladder.configuration.RegionId(it) },
        )
    },
)
