package org.pomeloladder.daemon

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.pomeloladder.decisions.NoHedgePolicy
import org.pomeloladder.decisions.NoOutlierPolicy
import org.pomeloladder.decisions.RealHedgePolicy
import org.pomeloladder.decisions.RealOutlierPolicy
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class SettingsReaderTest {
    private val validYaml = """
        vmId: sk-ba-1
        failureDomain: bratislava-a
        callers: {host: 10.0.1.1, port: 8080}
        peers: {host: 10.0.1.1, port: 7070}
        administration: {host: 10.0.1.1, port: 9090, keyHashes: ["${"0".repeat(64)}"]}
        sharedKeyHex: "${"ab".repeat(16)}"
        platform: {host: 10.0.0.1, port: 80}
    """.trimIndent()

    // Guards against a process that does not start because a short settings file omits limits.
    @Test
    fun `missing limits get their defaults`() {
        val result = readSettings(validYaml)

        expectThat(result).isA<SettingsResult.Valid>()
            .get { settings.limits }.isEqualTo(Limits())
    }

    // Guards against a baseline experiment that runs with the policies of production.
    @Test
    fun `policies that are switched off are replaced by their no-op variants`() {
        val result = readSettings("$validYaml\npolicies: {hedges: false, outliers: false}")
        val names = (result as SettingsResult.Valid).settings.policies

        expectThat(policiesFor(names)) {
            get { hedge }.isEqualTo(NoHedgePolicy)
            get { outlier }.isEqualTo(NoOutlierPolicy)
        }
        expectThat(policiesFor(PolicyNames())) {
            get { hedge }.isA<RealHedgePolicy>()
            get { outlier }.isA<RealOutlierPolicy>()
        }
    }

    // Guards against an operator having to fix the problems of a file one by one.
    @Test
    fun `all problems of a file are reported at once`() {
        val invalidYaml = validYaml.replace("8080", "none").replace("ab".repeat(16), "abcd")
            .replace("vmId: sk-ba-1\n", "")

        expectThat(problemsOf(invalidYaml)).containsExactlyInAnyOrder(
            "vmId: expected an id of letters, digits, - and _, found nothing",
            "callers.port: expected a whole number from 1 to 65535, found \"none\"",
            "sharedKeyHex: expected at least 32 digits, found 4",
        )
    }

    @Test
    fun `a misspelt field is reported at any depth`() {
        val misspeltYaml = "$validYaml\nlimits: {maxBodyByte: 5000}\nregion: norte"

        expectThat(problemsOf(misspeltYaml)).containsExactlyInAnyOrder(
            "limits.maxBodyByte: expected a known setting, found an unknown name",
            "region: expected a known setting, found an unknown name",
        )
    }

    @Test
    fun `invalid YAML is reported with its line and not thrown`() {
        expectThat(problemsOf("vmId: [").single()).contains("expected valid YAML, found line")
        expectThat(problemsOf("").single()).contains("(file)")
    }

    @Test
    fun `a daemon with an invalid settings file exits with an error code and no stack trace`(
        @TempDir directory: Path,
    ) {
        val file = directory.resolve("settings.yaml").toFile().apply { writeText("vmId: 1") }
        val process = ProcessBuilder(
            File(System.getProperty("java.home"), "bin/java").path,
            "-cp",
            System.getProperty("java.class.path"),
            "org.pomeloladder.daemon.MainKt",
            file.path,
        ).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        process.waitFor(1, TimeUnit.MINUTES)

        expectThat(process.exitValue()).isNotEqualTo(0)
        expectThat(output).contains("failureDomain: expected")
        expectThat(output.contains("\tat ")).isEqualTo(false)
    }

    private fun problemsOf(yaml: String): List<String> =
        (readSettings(yaml) as SettingsResult.Invalid).problems.map { it.toString() }
}
