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
    private val valid = """
        vmId: sk-ba-1
        failureDomain: bratislava-a
        callers: {host: 10.0.1.1, port: 8080}
        peers: {host: 10.0.1.1, port: 7070}
        administration: {host: 10.0.1.1, port: 9090, keyHashes: ["${"0".repeat(64)}"]}
        sharedKeyHex: "${"ab".repeat(16)}"
        platform: {host: 10.0.0.1, port: 80}
    """.trimIndent()

    @Test
    fun `missing limits get their defaults, so that a short file starts`() {
        val result = readSettings(valid)

        expectThat(result).isA<SettingsResult.Valid>()
            .get { settings.limits }.isEqualTo(Limits())
    }

    @Test
    fun `policies named off are not those of production, so a baseline runs without them`() {
        val result = readSettings("$valid\npolicies: {hedges: false, outliers: false}")
        val names = (result as SettingsResult.Valid).settings.policies

        expectThat(chosenPolicies(names)) {
            get { hedge }.isEqualTo(NoHedgePolicy)
            get { outlier }.isEqualTo(NoOutlierPolicy)
        }
        expectThat(chosenPolicies(PolicyNames())) {
            get { hedge }.isA<RealHedgePolicy>()
            get { outlier }.isA<RealOutlierPolicy>()
        }
    }

    @Test
    fun `all problems are reported at once, so that an operator does not fix them one by one`() {
        val broken = valid.replace("8080", "none").replace("ab".repeat(16), "abcd")
            .replace("vmId: sk-ba-1\n", "")

        expectThat(problemsOf(broken)).containsExactlyInAnyOrder(
            "vmId: expected an id of letters, digits, - and _, found nothing",
            "callers.port: expected a whole number from 1 to 65535, found \"none\"",
            "sharedKeyHex: expected at least 32 digits, found 4",
        )
    }

    @Test
    fun `a misspelt field is a problem at any depth, so that it is not silently ignored`() {
        val misspelt = "$valid\nlimits: {maxBodyByte: 5000}\nregion: norte"

        expectThat(problemsOf(misspelt)).containsExactlyInAnyOrder(
            "limits.maxBodyByte: expected a known setting, found an unknown name",
            "region: expected a known setting, found an unknown name",
        )
    }

    @Test
    fun `text that is not YAML is a problem with its line, not an exception`() {
        expectThat(problemsOf("vmId: [").single()).contains("expected valid YAML, found line")
        expectThat(problemsOf("").single()).contains("(file)")
    }

    @Test
    fun `a daemon with a bad file ends with an error code and without a stack trace`(
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
