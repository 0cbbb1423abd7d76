/*
 * Counts requests that fail while daemons restart one after another under streaming load, and
 * measures how long a leaving backend server still receives new requests.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.configuration.VmState
import org.pomeloladder.standins.EngineProfile

private const val ENTRY_VMS = 4

/** Five engines (40 slots) remain after one leaves; 25 requests/s of about 1.2 s occupy 30. */
private const val ENGINES = 6
private const val PROMPT_TOKENS = 100
private const val RATE_PER_SECOND = 25.0
private const val LOAD_MS = 34_000L
private const val LEAVE_AFTER_MS = 2_000L
private const val RESTART_AFTER_MS = 8_000L
private const val LEAVE_OBSERVATION_MS = 6_000L
private const val POLL_MS = 10L
private const val MS_PER_SECOND = 1_000
private const val MAX_LAST_WORK_MS = 3_000.0
private const val NANOS_PER_MS = 1_000_000.0
private const val SUBSCRIBERS = 20

internal class DrainExperiment : Experiment {
    override val name = "drain"
    override val summary = "requests cut off by restarts; time until a leaving server is idle"
    override val target = "0 cut off; at most 3 s"

    override fun run(seed: Long): ExperimentResult {
        val policy = measure(seed) { it.terminate() }
        val baseline = measure(seed) { true.also { _ -> it.kill() } }
        return ExperimentResult(
            policy = policy.incomplete,
            baseline = baseline.incomplete,
            isMet =
            policy.incomplete == 0.0 &&
                policy.notStopped == 0.0 &&
                policy.restarts == ENTRY_VMS.toDouble() &&
                policy.lastWorkMs <= MAX_LAST_WORK_MS,
            setup = listOf(
                "1 domain, 4 entry VMs, $ENGINES engines, 20 ms a token; $RATE_PER_SECOND req/s " +
                    "for ${LOAD_MS / MS_PER_SECOND} s, 100 prompt and 50 output tokens",
                "one engine leaves at 2 s; from 8 s on each daemon is stopped and started again",
                "policy: SIGTERM; baseline: SIGKILL",
            ),
            rows = listOf(
                ReportRow("calls", policy.calls, baseline.calls),
                ReportRow("of these refused", policy.refused, baseline.refused),
                ReportRow("last new work of leaving, ms", policy.lastWorkMs, baseline.lastWorkMs),
                ReportRow("daemons not stopped in 20 s", policy.notStopped, baseline.notStopped),
                ReportRow("daemons restarted under load", policy.restarts, baseline.restarts),
            ),
        )
    }

    private class Figures(
        val calls: Double,
        val incomplete: Double,
        val refused: Double,
        val lastWorkMs: Double,
        val restarts: Double,
        val notStopped: Double,
    )

    private fun measure(seed: Long, stop: (DaemonProcess) -> Boolean): Figures {
        val spec = spec()
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val operator = Operator(cluster, stop)
                val thread = Thread(operator, "operator").apply { start() }
                val result = runLoad(caller, calls(Random(seed))).kind("all")
                thread.join()
                Figures(
                    calls = result.count.toDouble(),
                    incomplete = (result.count - result.count(CallEnd.COMPLETE)).toDouble(),
                    refused = result.count(CallEnd.REFUSED).toDouble(),
                    lastWorkMs = operator.lastWorkMs,
                    restarts = operator.restarts.toDouble(),
                    notStopped = operator.notStopped.toDouble(),
                )
            }
        }
    }

    private fun spec() = clusterSpec {
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineProfile = EngineProfile(decodeMsPerToken = 20.0)
        }
        repeat(SUBSCRIBERS) { subscriber("counter-$it", listOf("norte")) }
    }

    private fun calls(random: Random) =
        poissonArrivals(random, LOAD_MS, RATE_PER_SECOND).mapIndexed { index, at ->
            val key = "key-counter-${random.nextInt(SUBSCRIBERS)}"
            Call(at, "all", key, listOf(promptOf("question-$index", PROMPT_TOKENS)), maxTokens = 50)
        }
}

/**
 * Marks one engine as leaving and then restarts the daemons one by one with [stop] under load.
 */
private class Operator(private val cluster: Cluster, private val stop: (DaemonProcess) -> Boolean) :
    Runnable {
    /** Time from publishing the leaving state to the last new request at that server. */
    @Volatile
    var lastWorkMs = 0.0

    @Volatile
    var restarts = 0

    /** The number of daemons that did not stop in time and were killed. */
    @Volatile
    var notStopped = 0

    private val startNanos = System.nanoTime()

    override fun run() {
        sleepUntil(LEAVE_AFTER_MS)
        announceLeaving()
        sleepUntil(RESTART_AFTER_MS)
        for (daemon in cluster.daemons.values) {
            if (elapsedMs() >= LOAD_MS) return
            if (!stop(daemon)) {
                notStopped += 1
                daemon.kill()
            }
            daemon.start()
            daemon.awaitReady()
            restarts += 1
        }
    }

    private fun announceLeaving() {
        val (domain, records) = cluster.backends.entries.first()
        val leaving = records.first()
        val engine = cluster.engines.getValue(leaving.id)
        val changed = records.map {
            if (it.id == leaving.id) it.copy(state = VmState.LEAVING) else it
        }
        cluster.platform.publishBackends(domain, changed)
        val publishedNanos = System.nanoTime()
        var count = engine.requestCount
        while (System.nanoTime() - publishedNanos < LEAVE_OBSERVATION_MS * NANOS_PER_MS) {
            Thread.sleep(POLL_MS)
            if (engine.requestCount == count) continue
            count = engine.requestCount
            lastWorkMs = (System.nanoTime() - publishedNanos) / NANOS_PER_MS
        }
    }

    private fun sleepUntil(atMs: Long) = Thread.sleep(maxOf(0, atMs - elapsedMs()))

    private fun elapsedMs() = ((System.nanoTime() - startNanos) / NANOS_PER_MS).toLong()
}
