package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.PlatformMode
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

class ConfigurationFailureTest {
    @Test
    fun `a change reaches a domain through peers when its platform connection is cut`() =
        withThreeRegions { cluster ->
            cluster.proxies.injectPlatformFault(domainOf(AUSTRAL), Fault.Cut(BOTH_WAYS))

            cluster.changeWeight(2)

            eventually("every entry VM has version 2") { cluster.versions().all { it == 2L } }
        }

    @Test
    fun `of two patches based on one version every process applies only the first`() =
        withThreeRegions { cluster ->
            val base = cluster.platform.inForce.version
            val id = SubscriberGroupId(EVERYWHERE)
            val group = cluster.platform.inForce.configuration.groups.getValue(id)
            cluster.platform.publish(
                Patch(base, listOf(Change.PutGroup(id, group.copy(weight = 3)))),
            )
            cluster.platform.publish(
                Patch(base, listOf(Change.PutGroup(id, group.copy(weight = 9)))),
            )

            eventually("every entry VM has evaluated both patches") {
                cluster.daemons.values.all {
                    MetricsClient(it.administration)
                        .counter("pomeloladder_config_entries_total", "conflict") >= 1.0
                }
            }

            expectThat(cluster.versions().toSet()).isEqualTo(setOf(2L))
        }

    @Test
    fun `a process restarted while the platform is stale does not revert to an old version`() =
        withThreeRegions { cluster ->
            cluster.changeWeight(2)
            eventually("every entry VM has version 2") { cluster.versions().all { it == 2L } }
            cluster.platform.setStaleAt(entries = 0)

            cluster.daemon(NORTE).kill()
            cluster.daemon(NORTE).start()
            cluster.daemon(NORTE).awaitReady()

            eventually("the restarted VM has version 2") { cluster.configVersionOf(NORTE, 1) == 2L }
            expectThat(cluster.versions().min()).isGreaterThanOrEqualTo(2L)
        }

    @Test
    fun `a process restarted while the platform is down gets the configuration from peers`() =
        withThreeRegions { cluster ->
            cluster.changeWeight(2)
            eventually("every entry VM has version 2") { cluster.versions().all { it == 2L } }
            cluster.platform.setMode(PlatformMode.DOWN)

            cluster.daemon(CENTRO).kill()
            cluster.daemon(CENTRO).start()
            cluster.daemon(CENTRO).awaitReady()

            expectThat(cluster.configVersionOf(CENTRO, 1)).isEqualTo(2L)
        }
}

private fun Cluster.changeWeight(weight: Int) {
    val inForce = platform.inForce
    val id = SubscriberGroupId(EVERYWHERE)
    val group = inForce.configuration.groups.getValue(id).copy(weight = weight)
    platform.publish(Patch(inForce.version, listOf(Change.PutGroup(id, group))))
}

private fun Cluster.versions() = daemons.values.map { it.configVersion() }
