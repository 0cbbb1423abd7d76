/*
 * Runs the packaged gateway as real processes before a store that comes back from a copy, without
 * what was written since, and gives out its revisions again. What the operator and the servers wrote
 * is written again after a moment.
 */
package org.pomeloladder.bench

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty

class GatewayRestoredStoreTest {
    private val cluster = RestoredStoreCluster()

    @BeforeEach
    fun start() = cluster.start()

    @AfterEach
    fun stop() = cluster.close()

    // Guards against changes that are taken for old ones, because their revisions are not above
    // those of the lost writes.
    @Test
    fun `a version acknowledged after a restore is in force within the bound`() {
        val copy = cluster.change(LOST)
        cluster.restore(copy)
        cluster.writeAgain(LOST.last)

        expectThat(cluster.delaysMsOf(LOST.last + 1)).all { isLessThan(CONFIG_MS) }
    }

    // Guards against the same while what was lost has not been written again.
    @Test
    fun `a version acknowledged at once after a restore is in force within the bound`() {
        val copy = cluster.change(LOST)
        cluster.restore(copy)

        expectThat(cluster.delaysMsOf(LOST.last + 1)).all { isLessThan(CONFIG_MS) }
    }

    // Guards against a copy that is taken as it is, with a version that has been replaced.
    @Test
    fun `the older version of the copy never comes back into force`() {
        val oldPath = RestoredStoreCluster.ownPath(1)
        val copy = cluster.change(LOST)
        cluster.gateways.forEach { cluster.startCalls(it, oldPath) }
        val restoredMs = cluster.restore(copy)
        cluster.writeAgain(LOST.last)
        cluster.publish(LOST.last + 1)
        Thread.sleep(CONFIG_MS)

        val answers = cluster.answers.filter { it.path == oldPath }
        expectThat(answers.filter { it.status == OK }.map { "${it.gateway} ${it.sentAtMs}" })
            .isEmpty()
        for (gateway in cluster.gateways) {
            val refused = answers.filter { it.gateway == gateway.callers && it.status == NOT_FOUND }
            expectThat(refused.maxOf { it.sentAtMs }).isGreaterThan(restoredMs + CONFIG_MS)
        }
    }

    // Guards against a copy that is taken as it is, with servers and zones that are to get no calls.
    @Test
    fun `servers that left and an evacuated zone get no call after a restore`() {
        val copy = cluster.change(LOST)
        val restoredMs = cluster.restore(copy)
        cluster.writeAgain(LOST.last)
        Thread.sleep(OBSERVED_MS)

        expectThat(cluster.callsOfThoseThatLeft(restoredMs)).isEmpty()
        expectThat(cluster.callTimesMs(cluster.staying, restoredMs)).isNotEmpty()
    }

    // Guards against servers and zones that stay as they were at the last revision that was lost.
    @Test
    fun `a drain and the end of an evacuation after a restore are followed`() {
        val copy = cluster.change(LOST)
        cluster.restore(copy)
        cluster.writeAgain(LOST.last)
        Thread.sleep(CONFIG_MS)
        cluster.drain(cluster.later)
        cluster.endEvacuation()
        val endedMs = RouteServerStandIn.monotonicMs()
        Thread.sleep(DRAIN_MS + OBSERVED_MS)

        expectThat(cluster.callTimesMs(cluster.later, endedMs + DRAIN_MS)).isEmpty()
        expectThat(cluster.callTimesMs(cluster.evacuated, endedMs)).isNotEmpty()
    }

    // Guards against a restore that goes unnoticed, because the store has passed the revision of the
    // watch by the time that it looks, so that nothing is answered with 410.
    @Test
    fun `a restore is noticed when the store has passed the old revision again`() {
        val copy = cluster.change(LOST)
        val returnedMs = cluster.restore(copy, RestoredStoreCluster.LONG_AWAY_MS) {
            cluster.publish(LOST.last + 1)
            cluster.leave()
            cluster.drain(cluster.later)
            cluster.renew(RENEWALS)
        }

        expectThat(cluster.delaysMs(LOST.last + 1)).all { isLessThan(CONFIG_MS) }
        Thread.sleep(DRAIN_MS + OBSERVED_MS)
        expectThat(cluster.callTimesMs(cluster.later, returnedMs + DRAIN_MS)).isEmpty()
        expectThat(cluster.callsOfThoseThatLeft(returnedMs)).isEmpty()
    }

    // Guards against a restore during the recovery from another, of the same copy.
    @Test
    fun `a second restore before anything is written again loses no later version`() {
        val copy = cluster.change(LOST)
        val restoredMs = cluster.restore(copy)
        Thread.sleep(BETWEEN_RESTORES_MS)
        cluster.restore(copy)
        cluster.writeAgain(LOST.last)

        expectThat(cluster.delaysMsOf(LOST.last + 1)).all { isLessThan(CONFIG_MS) }
        expectThat(cluster.callsOfThoseThatLeft(restoredMs)).isEmpty()
    }

    // Guards against revisions that are compared with those of the era before the last one.
    @Test
    fun `a second restore after the recovery from the first loses no later version`() {
        val firstCopy = cluster.change(LOST)
        val restoredMs = cluster.restore(firstCopy)
        cluster.writeAgain(LOST.last)
        expectThat(cluster.delaysMsOf(LOST.last + 1)).all { isLessThan(CONFIG_MS) }

        val secondCopy = cluster.change(LOST_AGAIN)
        cluster.restore(secondCopy)
        cluster.writeAgain(LOST_AGAIN.last)

        expectThat(cluster.delaysMsOf(LOST_AGAIN.last + 1)).all { isLessThan(CONFIG_MS) }
        expectThat(cluster.callsOfThoseThatLeft(restoredMs)).isEmpty()
    }

    // Guards against a process that knows only the new revisions and takes those of its peers for
    // newer ones.
    @Test
    fun `a gateway that starts after a restore follows later changes like the others`() {
        val copy = cluster.change(LOST)
        cluster.restore(copy)
        cluster.newcomer.start()
        cluster.writeAgain(LOST.last)
        val writtenMs = RouteServerStandIn.monotonicMs()
        cluster.newcomer.awaitReady()
        cluster.startCalls(cluster.newcomer, RestoredStoreCluster.COMMON_PATH)
        val vms = cluster.gateways + cluster.newcomer

        expectThat(cluster.delaysMsOf(LOST.last + 1, vms)).all { isLessThan(CONFIG_MS) }
        cluster.drain(cluster.later)
        val drainedMs = RouteServerStandIn.monotonicMs()
        Thread.sleep(DRAIN_MS + OBSERVED_MS)
        expectThat(cluster.callTimesMs(cluster.later, drainedMs + DRAIN_MS)).isEmpty()
        expectThat(cluster.callsOfThoseThatLeft(writtenMs + EVACUATE_MS)).isEmpty()
    }

    companion object {
        const val CONFIG_MS = 4_000L
        const val DRAIN_MS = 4_000L
        const val EVACUATE_MS = 5_000L
        private const val OBSERVED_MS = 2_000L
        private const val BETWEEN_RESTORES_MS = 500L
        private const val OK = 200
        private const val NOT_FOUND = 404

        /** More versions than are written again, so that revisions stay below the lost ones. */
        private val LOST = 2..9
        private val LOST_AGAIN = 11..18

        /** More changes than [LOST] and what leaves. */
        private const val RENEWALS = 12
    }
}
