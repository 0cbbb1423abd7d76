/*
 * Runs a daemon as a separate process, as operators do.
 */
package org.pomeloladder.bench

import java.io.File
import java.time.Duration
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.daemon.hashApiKey

private const val READY_TIMEOUT_MS = 60_000L
private const val POLL_MS = 50L
private const val STOP_TIMEOUT_S = 20L
private const val SHARED_KEY_HEX = "6d79207368617265642074657374206b6579"

/** The administration key of every [DaemonProcess]. */
const val ADMINISTRATION_KEY = "key-administration"

/** Starts, signals and stops the daemon of the entry VM [record]. */
class DaemonProcess(
    val record: EntryVmRecord,
    val administration: Address,
    private val platform: Address,
    private val seeds: List<Address>,
    private val policies: String = "{}",
    private val usesOptimizingCompiler: Boolean = false,
) : AutoCloseable {
    private val directory = File.createTempFile("pomeloladder-", "").apply {
        delete()
        mkdirs()
    }
    private var process: Process? = null

    /** The standard output and error of the daemon, across restarts. */
    val log: File = File(directory, "daemon.log")

    val pid: Long
        get() = checkNotNull(process) { "daemon ${record.id} has not been started" }.pid()

    val isAlive: Boolean
        get() = process?.isAlive == true

    /** The CPU time used by the current process. */
    val cpuTime: Duration
        get() = checkNotNull(process).info().totalCpuDuration().orElse(Duration.ZERO)

    fun start() {
        val settings = File(directory, "settings.yaml").apply { writeText(settingsYaml()) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val options = if (usesOptimizingCompiler) emptyList() else listOf("-XX:TieredStopAtLevel=1")
        val command = listOf(java, "-Xmx256m") + options + listOf(
            "-cp",
            System.getProperty("java.class.path"),
            "org.pomeloladder.daemon.MainKt",
            settings.path,
        )
        process =
            ProcessBuilder(
                command,
            ).redirectErrorStream(
                true,
            ).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start()
    }

    fun awaitReady() {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS)
        while (System.nanoTime() < deadlineNanos) {
            check(isAlive) { "daemon ${record.id} exited before it was ready: ${log.readText()}" }
            if (isReady()) return
            Thread.sleep(POLL_MS)
        }
        error("daemon ${record.id} was not ready within $READY_TIMEOUT_MS ms: ${log.readText()}")
    }

    /** Sends the signal [name], such as STOP or CONT, to the process. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    /** Sends SIGTERM and waits for the process. Returns whether it exited in time. */
    fun terminate(timeoutSeconds: Long = STOP_TIMEOUT_S): Boolean {
        val running = process ?: return true
        running.destroy()
        return running.waitFor(timeoutSeconds, TimeUnit.SECONDS)
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Returns the configuration version in force on this daemon, or 0 if it reports none. */
    fun configVersion(): Long =
        MetricsClient(administration).gauge("pomeloladder_config_version")?.toLong() ?: 0

    override fun close() {
        kill()
        directory.deleteRecursively()
    }

    private fun isReady(): Boolean {
        val uri = "http://${record.callerAddress}/readyz"
        return try {
            http(Request(Method.GET, uri)).status.successful
        } catch (_: ExecutionException) {
            // A pooled connection may still point to the process that ran before a restart.
            false
        }
    }

    private fun settingsYaml() = """
        vmId: ${record.id}
        failureDomain: ${record.domain}
        callers: {host: ${record.callerAddress.host}, port: ${record.callerAddress.port}}
        peers: {host: ${record.peerAddress.host}, port: ${record.peerAddress.port}}
        administration:
          host: ${administration.host}
          port: ${administration.port}
          keyHashes: ["${hashApiKey(ADMINISTRATION_KEY)}"]
        sharedKeyHex: "$SHARED_KEY_HEX"
        platform: {host: ${platform.host}, port: ${platform.port}}
        seeds: [${seeds.joinToString { "{host: ${it.host}, port: ${it.port}}" }}]
        policies: $policies
    """.trimIndent()

    private companion object {
        val http = JettyClient()
    }
}
