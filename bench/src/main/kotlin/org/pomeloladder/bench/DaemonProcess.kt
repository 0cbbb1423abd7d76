/*
 * One daemon as a process of its own, as operators run it.
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

/** The administration key of every daemon that is started here. */
const val ADMINISTRATION_KEY = "key-administration"

/** Starts and stops the daemon of [record]. */
class DaemonProcess(
    val record: EntryVmRecord,
    val administration: Address,
    private val platform: Address,
    private val seeds: List<Address>,
    private val policies: String = "{}",
    private val hasFullCompiler: Boolean = false,
) : AutoCloseable {
    private val directory = File.createTempFile("pomeloladder-", "").apply {
        delete()
        mkdirs()
    }
    private var process: Process? = null

    /** What the daemon wrote to its log so far. */
    val log: File = File(directory, "daemon.log")

    val pid: Long
        get() = checkNotNull(process) { "daemon ${record.id} is not started" }.pid()

    val isAlive: Boolean
        get() = process?.isAlive == true

    /** Processor time of the process so far. */
    val cpuTime: Duration
        get() = checkNotNull(process).info().totalCpuDuration().orElse(Duration.ZERO)

    fun start() {
        val settings = File(directory, "settings.yaml").apply { writeText(settingsYaml()) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val compiler = if (hasFullCompiler) emptyList() else listOf("-XX:TieredStopAtLevel=1")
        val command = listOf(java, "-Xmx256m") + compiler + listOf(
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
        val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS)
        while (System.nanoTime() < until) {
            check(isAlive) { "daemon ${record.id} ended: ${log.readText()}" }
            if (isReady()) return
            Thread.sleep(POLL_MS)
        }
        error("daemon ${record.id} not ready in $READY_TIMEOUT_MS ms: ${log.readText()}")
    }

    /** Sends [name], for example STOP or CONT, to the process. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    /** Asks for a graceful shutdown and waits for its end. Returns whether it ended in time. */
    fun terminate(timeoutSeconds: Long = STOP_TIMEOUT_S): Boolean {
        val running = process ?: return true
        running.destroy()
        return running.waitFor(timeoutSeconds, TimeUnit.SECONDS)
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** The configuration version in force on this daemon. */
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
            // A pooled connection to the process before its restart.
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
