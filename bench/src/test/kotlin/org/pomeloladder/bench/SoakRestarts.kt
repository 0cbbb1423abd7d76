/*
 * Draws crashes of backend servers that start again under their id, and restores of the store from
 * a copy some seconds old, from a seed. They come alone, in series and overlapping.
 */
package org.pomeloladder.bench

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import org.pomeloladder.standins.RouteServerStandIn

/** Injects restarts and restores into [cluster] by [schedule]. */
internal class SoakRestarts(
    private val cluster: SoakCluster,
    private val schedule: FaultSchedule,
    seed: Long,
) {
    /**
     * A crash that lasts for [downMs] and the life after it, which is cold for [coldMs] and lasts
     * for [lengthMs]. The server writes its entry after [reportDelayMs], if it lives so long.
     */
    private class Life(random: Random) {
        val downMs = random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS)
        val coldMs = random.nextLong(MIN_COLD_MS, MAX_COLD_MS)
        val reportDelayMs = random.nextLong(MAX_REPORT_DELAY_MS)
        val lengthMs = random.nextLong(MIN_LIFE_MS, MAX_LIFE_MS)

        override fun toString() =
            "down $downMs, cold $coldMs, entry after $reportDelayMs, lives $lengthMs ms"
    }

    /** An absence of the store of [awayMs] and the times after it when its writers write again. */
    private class Restore(random: Random, serverCount: Int) {
        val awayMs = random.nextLong(MAX_AWAY_MS)
        val isSilent = random.nextBoolean()
        val configDelayMs = random.nextLong(MAX_REWRITE_DELAY_MS)
        val serverDelaysMs = List(serverCount) { random.nextLong(MAX_REWRITE_DELAY_MS) }

        override fun toString() = "away $awayMs, silent $isSilent, configuration after " +
            "$configDelayMs, servers after $serverDelaysMs ms"
    }

    private val random = Random(seed xor SEED_MASK)
    private val isStoreRestoring = AtomicBoolean()

    /** Injects a fault with the probability of one in [INTERVAL]. */
    fun injectRarely() {
        if (random.nextInt(INTERVAL) != 0) return
        when (random.nextInt(KINDS)) {
            0 -> restartServers(count = 1, lives = 1)
            1 -> restartServers(count = 1, lives = random.nextInt(2, MAX_LIVES + 1))
            2 -> restartServers(count = random.nextInt(2, cluster.servers.size + 1), lives = 1)
            3 -> restoreStore(times = 1)
            4 -> restoreStore(times = 2)
            else -> {
                restoreStore(times = random.nextInt(1, MAX_RESTORES + 1))
                restartServers(count = 2, lives = 2)
            }
        }
    }

    private fun restartServers(count: Int, lives: Int) {
        for (server in cluster.servers.shuffled(random).take(count)) {
            val drawnLives = List(lives) { Life(random) }
            val pauseMs = random.nextLong(MAX_DOWN_MS)
            if (server.isRestarting.compareAndSet(false, true)) {
                schedule.runAfter(pauseMs) { restart(server, drawnLives) }
            }
        }
    }

    private fun restart(server: SoakServer<RouteServerStandIn>, lives: List<Life>) {
        for (life in lives) {
            schedule.record("crash of ${server.key}: $life") { server.crash() }
            Thread.sleep(life.downMs)
            server.startAgain(life.coldMs)
            val isReported = life.reportDelayMs < life.lengthMs || life === lives.last()
            if (isReported) {
                Thread.sleep(life.reportDelayMs)
                cluster.report(server)
            }
            val restMs = life.lengthMs - if (isReported) life.reportDelayMs else 0
            if (restMs > 0) Thread.sleep(restMs)
        }
        server.isRestarting.set(false)
    }

    private fun restoreStore(times: Int) {
        val ageMs = random.nextLong(MIN_AGE_MS, MAX_AGE_MS)
        val heartbeats = random.nextInt(MAX_HEARTBEATS + 1)
        val restores = List(times) { Restore(random, cluster.allServers.size) }
        if (!isStoreRestoring.compareAndSet(false, true)) return
        schedule.runAfter(0) {
            val copy = cluster.store.copy()
            repeat(heartbeats) {
                Thread.sleep(ageMs / (heartbeats + 1))
                cluster.allServers.forEach { cluster.report(it) }
            }
            Thread.sleep(ageMs / (heartbeats + 1))
            for (restore in restores) {
                schedule.record("store back to a copy of $ageMs ms, $restore") {
                    cluster.publishConfig(SoakCluster.INITIAL_TIMEOUT_MS)
                }
                leave(restore)
                cluster.store.restore(copy)
                comeBack()
                writeAgain(restore)
            }
            isStoreRestoring.set(false)
        }
    }

    private fun leave(restore: Restore) {
        if (restore.isSilent) cluster.store.isSilent = true else cluster.store.isRefusing = true
        Thread.sleep(restore.awayMs)
    }

    private fun comeBack() {
        cluster.store.isSilent = false
        cluster.store.isRefusing = false
    }

    /** The operator and the servers write again what they wrote, each after a time of its own. */
    private fun writeAgain(restore: Restore) {
        val writers = cluster.allServers.zip(restore.serverDelaysMs) { server, delayMs ->
            delayMs to { cluster.report(server) }
        } + (restore.configDelayMs to { cluster.publishConfigAgain() })
        var passedMs = 0L
        for ((delayMs, write) in writers.sortedBy { it.first }) {
            Thread.sleep(delayMs - passedMs)
            passedMs = delayMs
            write()
        }
    }

    private companion object {
        const val SEED_MASK = 0xB0_24_01DL
        const val INTERVAL = 4
        const val KINDS = 6
        const val MIN_DOWN_MS = 100L
        const val MAX_DOWN_MS = 4_000L
        const val MIN_COLD_MS = 1_000L
        const val MAX_COLD_MS = 5_000L
        const val MAX_REPORT_DELAY_MS = 3_000L
        const val MIN_LIFE_MS = 200L
        const val MAX_LIFE_MS = 4_000L
        const val MAX_LIVES = 3
        const val MIN_AGE_MS = 500L
        const val MAX_AGE_MS = 6_000L
        const val MAX_HEARTBEATS = 3
        const val MAX_AWAY_MS = 2_000L
        const val MAX_REWRITE_DELAY_MS = 2_000L
        const val MAX_RESTORES = 2
    }
}
