/*
 * The specification of a loopback deployment for the demo, the tests and the load experiments.
 */
package org.pomeloladder.bench

import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.standins.EngineProfile

/** The failure domains, subscribers and options of a deployment. */
class ClusterSpec {
    internal val domains = ArrayList<DomainSpec>()
    internal val subscribers = ArrayList<SubscriberSpec>()
    var modelService = "chat"
    var orderService = "orders"

    /** Whether peers, the platform and backend servers are behind fault-injecting proxies. */
    var hasFaultProxies = false

    /** Whether daemons use C2 in addition to C1, which makes them start slower and run faster. */
    var usesOptimizingCompiler = false

    /** The `policies` section of every daemon's settings, as single-line YAML. */
    var policies = "{}"

    /** Adds a failure domain in [region]. */
    fun domain(region: String, name: String, build: DomainSpec.() -> Unit = {}) {
        domains += DomainSpec(RegionId(region), FailureDomainId(name)).apply(build)
    }

    /** Adds a subscriber whose data may be processed in [regions]; its API key is `key-NAME`. */
    fun subscriber(name: String, regions: List<String>, build: SubscriberSpec.() -> Unit = {}) {
        subscribers += SubscriberSpec(name, regions.map(::RegionId).toSet()).apply(build)
    }
}

/** The sizes of one failure domain. */
class DomainSpec(val region: RegionId, val id: FailureDomainId) {
    var entryVms = 2
    var engines = 2
    var orderServers = 1
    var engineProfile = EngineProfile()
    var engineConcurrency = 8
}

/** A subscriber that is the only member of its group. */
class SubscriberSpec(val name: String, val regions: Set<RegionId>) {
    var weight = 1
    var deadlineMs = 60_000L
    var homeRegion: String? = null

    val apiKey: String
        get() = "key-$name"
}

/** Builds a [ClusterSpec]. */
fun clusterSpec(build: ClusterSpec.() -> Unit): ClusterSpec = ClusterSpec().apply(build)
