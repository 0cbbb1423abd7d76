/*
 * Runs the packaged gateway as a separate process, as the platform starts it. Each VM has its own
 * loopback address, because all VMs use the same peer ports.
 */
package org.pomeloladder.bench

import java.io.File
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.util.concurrent.TimeUnit
import org.pomeloladder.configuration.Address

private const val STOP_TIMEOUT_S = 20L

/** The port numbers that all VMs of one test use. */
internal class GatewayPorts {
    val callers = freeAddress().port
    val readiness = freeAddress().port
    val directory = freeAddress().port
    val metrics = freeAddress().port
    val firstPeer = freeAddress().port
}

/**
 * The process of the VM with the address `127.0.0.[number]` in [region]. [seedNumbers] are the
 * numbers of its seeds.
 */
internal class GatewayProcess(
    private val number: Int,
    private val region: String,
    private val ports: GatewayPorts,
    private val store: Address,
    private val retryBounds: RetryBounds = RetryBounds(),
    private val seedNumbers: List<Int> = listOf(2, 3),
) : AutoCloseable {
    private val directory = File.createTempFile("gateway-", "").apply {
        delete()
        mkdirs()
    }
    private var process: Process? = null
    private val host = "127.0.0.$number"
    val callers = Address(host, ports.callers)
    val log = File(directory, "front-$number.log")

    val isAlive: Boolean
        get() = process?.isAlive == true

    private val settings = File(directory, "settings.yaml")

    /** The exit code, or null while the process runs. */
    val exitCode: Int?
        get() = process?.takeIf { !it.isAlive }?.exitValue()

    fun start() {
        settings.writeText(settingsYaml())
        launch()
    }

    /**
     * Starts the process with a named pipe as its settings file and returns once the process has
     * opened the pipe. Startup blocks until the returned function writes the settings; by then a
     * regular file has replaced the pipe.
     */
    fun startWithBlockedSettings(): () -> Unit {
        ProcessBuilder("mkfifo", settings.path).start().waitFor()
        launch()
        // Opening the pipe blocks until the process opens it for reading.
        val pipe = settings.outputStream()
        settings.delete()
        settings.writeText(settingsYaml())
        return { pipe.use { it.write(settingsYaml().toByteArray()) } }
    }

    private fun launch() {
        val command = listOf(
            File(System.getProperty("java.home"), "bin/java").path,
            "-Xmx128m",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "org.pomeloladder.platform.MainKt",
        )
        val builder = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()["POMELOLADDER_BOOT"] = settings.path
        process = builder.start()
    }

    fun awaitReady() = eventually("front-$number is ready: ${log.readText()}") { isReady() }

    /** Sends the signal [name], such as STOP, CONT or TERM, to the process. */
    fun signal(name: String) {
        val pid = checkNotNull(process).pid().toString()
        ProcessBuilder("kill", "-$name", pid).start().waitFor()
    }

    /** Waits for the process to exit without killing it. Returns whether it exited in time. */
    fun awaitEnd(): Boolean = process?.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS) ?: true

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Returns the answer of this VM's directory to a caller in [callerRegion]. */
    fun lookUp(callerRegion: String): String =
        get(ports.directory, "/pomeloladder/lookup?Name=shop.example&Region=$callerRegion").second

    fun isReady(): Boolean = get(ports.readiness, "/pomeloladder/readyz").first == OK

    override fun close() {
        kill()
        directory.deleteRecursively()
    }

    private fun get(port: Int, path: String): Pair<Int, String> = try {
        val uri = URI("http://$host:$port$path")
        val connection = uri.toURL().openConnection() as HttpURLConnection
        val status = connection.responseCode
        val stream = if (status == OK) connection.inputStream else connection.errorStream
        status to stream?.bufferedReader()?.readText().orEmpty()
    } catch (_: IOException) {
        0 to ""
    }

    private fun settingsYaml() = """
        vm: front-$number
        region: $region
        failureDomain: $region-a
        regionsOfDomains: {"north-a": "north", "south-a": "south"}
        host: $host
        callers: "$callers"
        readiness: "$host:${ports.readiness}"
        directory: "$host:${ports.directory}"
        metricsPort: ${ports.metrics}
        peerPorts: {first: ${ports.firstPeer}, last: ${ports.firstPeer + 3}}
        seeds: [${seedNumbers.joinToString { "\"127.0.0.$it:1\"" }}]
        platform: "$store"
        bounds:
          retryRatio: ${retryBounds.ratio}
          retryWindowS: ${retryBounds.windowMs / MS_PER_S}
          retrySlack: ${retryBounds.slack}
          coldOverage: 1.5
          coldSlack: 3
          configMs: 4000
          drainMs: 4000
          shutdownGraceS: 8
          entryTtlMaxS: 5
    """.trimIndent()

    private companion object {
        const val OK = 200
        const val MS_PER_S = 1_000.0
    }
}
