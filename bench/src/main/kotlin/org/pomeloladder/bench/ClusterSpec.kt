/*
 * Describes a deployment on loopback for the demo, the tests and the load experiments.
 */
package org.pomeloladder.bench

import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.standins.EngineProfile

/** A deployment: its failure domains and subscribers. */
class ClusterSpec {
    internal val domains = ArrayList<DomainSpec>()
    internal val subscribers = ArrayList<SubscriberSpec>()
    var modelService = "chat"
    var orderService = "orders"

    /** Whether peers, the platform and backend servers are reached through fault-injecting proxies. */
    var hasFaultProxies = false

    /** Whether daemons also use the optimizing compiler, which starts slower and runs faster. */
    var hasFullCompiler = false

    /** The settings section `policies` of every daemon, as YAML in one line. */
    var policies = "{}"

    /** Adds a failure domain in [region]. */
    fun domain(region: String, name: String, build: DomainSpec.() -> Unit = {}) {
        domains += DomainSpec(RegionId(region), FailureDomainId(name)).apply(build)
    }

    /** Adds a subscriber whose data may live in [regions]; its API key is `key-NAME`. */
    fun subscriber(name: String, regions: List<String>, build: SubscriberSpec.() -> Unit = {}) {
        subscribers += SubscriberSpec(name, regions.map(::RegionId).toSet()).apply(build)
    }
}

/** One failure domain. */
class DomainSpec(val region: RegionId, val id: FailureDomainId) {
    var entryVms = 2
    var engines = 2
    var orderServers = 1
    var engineProfile = EngineProfile()
    var engineConcurrency = 8
}

/** One subscriber, in a group of its own. */
class SubscriberSpec(val name: String, val regions: Set<RegionId>) {
    var weight = 1
    var deadlineMs = 60_000L
    var homeRegion: String? = null

    val apiKey: String
        get() = "key-$name"
}

/** Describes a deployment. */
fun clusterSpec(build: ClusterSpec.() -> Unit): ClusterSpec = ClusterSpec().apply(build)
