package org.pomeloladder.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import java.io.File
import java.net.ServerSocket
import kotlinx.serialization.encodeToString
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Jetty
import org.http4k.server.asServer
import org.junit.jupiter.api.Test
import org.pomeloladder.daemon.ConfigurationStatus
import org.pomeloladder.daemon.ErrorDetail
import org.pomeloladder.daemon.PatchCheck
import org.pomeloladder.daemon.PeerConfiguration
import org.pomeloladder.daemon.RowChange
import org.pomeloladder.daemon.TraceResponse
import org.pomeloladder.daemon.TraceStepStatus
import org.pomeloladder.daemon.daemonJson
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class PomeloladderTest {
    private val patch = File.createTempFile("patch", ".json").apply {
        deleteOnExit()
        writeText("{}")
    }

    @Test
    fun `config status decodes a response without the null fields that the daemon omits`() {
        val peer = PeerConfiguration("ba-2", "ba", null, null, null, 5)
        val status = ConfigurationStatus(
            "ba-1", null, null, null, 0, null, false, true, listOf(peer), emptyList(),
        )

        val result = run("config status", Answer.Success(daemonJson.encodeToString(status)))

        expectThat(result.output).contains("no configuration")
        expectThat(result.statusCode).isEqualTo(ExitCode.OK)
    }

    @Test
    fun `config check and config diff decode a rejected patch with omitted null fields`() {
        val change = RowChange("groups.cafes", null, null)
        val check = PatchCheck("conflict", base = 1, inForce = 2, changes = listOf(change))
        val answer = Answer.Success(daemonJson.encodeToString(check))

        expectThat(run("config diff ${patch.path}", answer).output).contains("groups.cafes")
        expectThat(run("config check ${patch.path}", answer).statusCode)
            .isEqualTo(ExitCode.INVALID)
    }

    @Test
    fun `trace merges the lines of one request from several VMs in chronological order`() {
        fun line(time: String, event: String, request: String) =
            """{"time":"$time","message":{"event":"$event","text":"t","request":"$request"}}"""
        val first = logFile(line("10:00:02", "412", "r1"), line("10:00:01", "410", "r2"), "no JSON")
        val second = logFile(line("10:00:01", "410", "r1"))

        val result = pomeloladder().test("trace r1 ${first.path} ${second.path}")

        expectThat(result.output.lines().filter { it.isNotBlank() }.map { it.take(8) })
            .isEqualTo(listOf("10:00:01", "10:00:02"))
    }

    @Test
    fun `settings check with --gateway rejects invalid settings of the route gateway`() {
        val file = logFile("vm: x")
        val result = pomeloladder().test("settings check --gateway ${file.path}")

        expectThat(result.statusCode).isEqualTo(ExitCode.INVALID)
    }

    private fun logFile(vararg lines: String): File = File.createTempFile("front", ".log").apply {
        deleteOnExit()
        writeText(lines.joinToString("\n"))
    }

    @Test
    fun `explain decodes a step whose null target the daemon omits`() {
        val step = TraceStepStatus(3, "refused", null, "queue-full")
        val trace = TraceResponse("ba-1", "r1", null, null, listOf(step))

        val result = run("explain r1", Answer.Success(daemonJson.encodeToString(trace)))

        expectThat(result.output).contains("queue-full")
        expectThat(result.statusCode).isEqualTo(ExitCode.OK)
    }

    @Test
    fun `with a wrong key each command prints one line and exits with ERROR_RESPONSE`() {
        val errorAnswer = Answer.Failure(401, ErrorDetail("unauthorized", "not-run"))
        for (command in COMMANDS) {
            val result = run(command.replace("PATCH", patch.path), errorAnswer)

            expectThat(result.statusCode).isEqualTo(ExitCode.ERROR_RESPONSE)
            expectThat(result.output.trim()).isEqualTo("$ENTRY answered 401 unauthorized")
        }
    }

    @Test
    fun `without any answer each command prints one line and exits with NO_ANSWER`() {
        for (command in COMMANDS) {
            val result = run(command.replace("PATCH", patch.path), Answer.Unavailable("refused"))

            expectThat(result.statusCode).isEqualTo(ExitCode.NO_ANSWER)
            expectThat(result.output.trim()).isEqualTo("no entry VM answers: $ENTRY: refused")
        }
    }

    @Test
    fun `a response that is not JSON and a port out of range end with their exit codes`() {
        val broken = run("usage --json", Answer.Success("<html>"))
        val outOfRange = pomeloladder().test("usage --entry 127.0.0.1:99999")

        expectThat(broken.statusCode).isEqualTo(ExitCode.ERROR_RESPONSE)
        expectThat(outOfRange.statusCode).isEqualTo(ExitCode.USAGE)
    }

    @Test
    fun `the client throws no exception for a 401 without a challenge or a closed port`() {
        val unauthorized: HttpHandler = {
            Response(Status.UNAUTHORIZED)
                .body("""{"error":{"reason":"unauthorized","run":"not-run"}}""")
        }
        val port = ServerSocket(0).use { it.localPort }
        val client = HttpAdministrationClient()
        fun ask() = client.send("127.0.0.1:$port", "wrong", Method.GET, "/v1/usage", null)

        expectThat(ask()).isA<Answer.Unavailable>()
        unauthorized.asServer(Jetty(port)).start().use {
            expectThat(ask()).isA<Answer.Failure>().get { status }.isEqualTo(401)
        }
    }

    private fun run(command: String, answer: Answer): CliktCommandTestResult =
        pomeloladder { _, _, _, _, _ -> answer }.test("$command --entry $ENTRY --key k")

    private companion object {
        const val ENTRY = "10.0.1.1:9090"
        val COMMANDS = listOf(
            "config status", "config status --json", "config check PATCH", "config diff PATCH",
            "entries", "backends", "usage", "usage --json", "drain", "explain r1",
        )
    }
}
