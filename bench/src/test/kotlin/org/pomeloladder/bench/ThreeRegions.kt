/*
 * The deployment of the failure tests: three regions with one failure domain each, behind
 * fault-injecting proxies.
 */
package org.pomeloladder.bench

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.standins.EngineProfile
import org.pomeloladder.standins.Fault

internal const val NORTE = "norte"
internal const val CENTRO = "centro"
internal const val AUSTRAL = "austral"

/** A subscriber whose data may be processed in every region. */
internal const val EVERYWHERE = "everywhere"

/** A subscriber whose data may only be processed in norte. */
internal const val ONLY_NORTE = "only-norte"

/** Starts the deployment, runs [test], and ends its processes. */
internal fun withThreeRegions(
    build: ClusterSpec.() -> Unit = {},
    profile: EngineProfile = EngineProfile(),
    test: (Cluster) -> Unit,
) {
    val spec = clusterSpec {
        hasFaultProxies = true
        listOf(NORTE, CENTRO, AUSTRAL).forEach { region ->
            domain(region, "$region-a") { engineProfile = profile }
        }
        subscriber(EVERYWHERE, listOf(NORTE, CENTRO, AUSTRAL))
        subscriber(ONLY_NORTE, listOf(NORTE))
        build()
    }
    Cluster(spec).use { cluster ->
        cluster.start()
        test(cluster)
    }
}

internal fun domainOf(region: String) = FailureDomainId("$region-a")

internal fun vmOf(region: String, index: Int) = VmId("$region-a-$index")

internal fun Cluster.daemon(region: String, index: Int = 1) = daemons.getValue(vmOf(region, index))

internal fun Cluster.caller(region: String, index: Int = 1, subscriber: String = EVERYWHERE) =
    CallerClient(daemon(region, index).record.callerAddress, "key-$subscriber")

internal fun Cluster.enginesOf(region: String) =
    engines.filterKeys { it.value.startsWith("$region-a-") }

internal fun Cluster.orderServerOf(region: String) = BackendServerId("$region-a-orders-1")

/** Returns how often the order services executed the order [key] in total. */
internal fun Cluster.executionsOf(key: String) = orderServices.values.sumOf { it.executionsOf(key) }

/** Waits for and returns the home token of entry VM [index] of [region]. */
internal fun Cluster.homeToken(region: String, index: Int = 1): String {
    val vm = vmOf(region, index).value
    var token: String? = null
    eventually("the directory lists $vm with a token") {
        token = caller(region, index).entries().entries.firstOrNull { it.vm == vm }?.homeToken
        token != null
    }
    return checkNotNull(token)
}

/** Injects [fault] into every peer connection between [region] and the other regions. */
internal fun Cluster.isolate(region: String, fault: Fault) {
    val (inside, outside) = daemons.keys.partition { it.value.startsWith("$region-a-") }
    for (one in inside) {
        for (other in outside) {
            proxies.injectPeerFault(one, other, fault)
            proxies.injectPeerFault(other, one, fault)
        }
    }
}

/** Returns the configuration version in force on entry VM [index] of [region]. */
internal fun Cluster.configVersionOf(region: String, index: Int) =
    daemon(region, index).configVersion()
