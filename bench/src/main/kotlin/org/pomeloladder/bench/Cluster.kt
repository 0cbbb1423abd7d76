/*
 * A deployment on loopback: stand-ins in this process, daemons as processes of their own.
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

/** A running deployment. [start] before use; [close] ends its own processes. */
class Cluster(private val spec: ClusterSpec) : AutoCloseable {
    val platform = PlatformStandIn(configurationOf(spec))

    /** What the VM lists first said of each domain's backend servers. */
    val backends = LinkedHashMap<FailureDomainId, List<BackendServerRecord>>()
    val engines = LinkedHashMap<BackendServerId, EngineStandIn>()
    val orderServices = LinkedHashMap<BackendServerId, OrderServiceStandIn>()
    val daemons = LinkedHashMap<VmId, DaemonProcess>()
    private val faults = if (spec.hasFaultProxies) FaultProxies() else null

    /** The proxies of a deployment that has them. */
    val proxies: FaultProxies
        get() = checkNotNull(faults) { "the deployment has no fault proxies" }

    /** A killed tool runs no `use` block, so its daemons would stay behind. */
    private val endDaemons = Thread { daemons.values.forEach(DaemonProcess::kill) }

    fun start() {
        Runtime.getRuntime().addShutdownHook(endDaemons)
        platform.start()
        val entryVms = ArrayList<EntryVmRecord>()
        for (domain in spec.domains) {
            backends[domain.id] = startBackends(domain).also { records ->
                platform.publishBackends(domain.id, records)
            }
            entryVms += entryVmsOf(domain)
        }
        val published = entryVms.map { it.published() }
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
                hasFullCompiler = spec.hasFullCompiler,
            )
        }
        daemons.values.forEach(DaemonProcess::start)
        daemons.values.forEach(DaemonProcess::awaitReady)
    }

    /** The backend servers of [domain] as the platform lists them. */
    fun backendRecords(domain: FailureDomainId): List<BackendServerRecord> =
        platform.publishedBackends(domain)

    override fun close() {
        daemons.values.forEach(DaemonProcess::close)
        removeShutdownHook()
        engines.values.forEach(EngineStandIn::close)
        orderServices.values.forEach(OrderServiceStandIn::close)
        platform.close()
        faults?.close()
    }

    private fun removeShutdownHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(endDaemons)
        } catch (_: IllegalStateException) {
            // The process is shutting down, and the hook runs.
            return
        }
    }

    /** Two VMs of each domain, so that a fresh VM finds a peer while one VM of a domain is down. */
    private fun seedsOf(vms: List<EntryVmRecord>): List<Address> = vms
        .groupBy { it.domain }
        .values
        .flatMap { it.take(SEEDS_PER_DOMAIN) }
        .map { it.peerAddress }

    private fun platformAddressOf(record: EntryVmRecord): Address =
        faults?.platform(record.domain, platform.address) ?: platform.address

    /** The record as peers see it: behind a proxy when the deployment has them. */
    private fun EntryVmRecord.published(): EntryVmRecord {
        val proxies = faults ?: return this
        return copy(peerAddress = proxies.peer(id, peerAddress))
    }

    private fun backendAddress(id: BackendServerId, address: Address): Address =
        faults?.backend(id, address) ?: address

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
