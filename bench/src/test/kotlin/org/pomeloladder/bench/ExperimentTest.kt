package org.pomeloladder.bench

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class ExperimentTest {
    @Test
    fun `the last line is one JSON object with every documented field, so scripts can read it`() {
        val text = result(policy = 1.0, baseline = 4.0).toJson(StubExperiment, 3)
        val json = Json.parseToJsonElement(text).jsonObject

        expectThat(text.contains('\n')).isFalse()
        expectThat(json.keys.toList()).containsExactly(
            "experiment",
            "seed",
            "policy",
            "baseline",
            "ratio",
            "target",
            "met",
            "details",
        )
        expectThat(json["ratio"]).isEqualTo(JsonPrimitive(0.25))
    }

    @Test
    fun `a zero baseline yields a null ratio, so that the line is valid JSON`() {
        val json = Json.parseToJsonElement(result(0.0, 0.0).toJson(StubExperiment, 1)).jsonObject

        expectThat(json["ratio"]).isEqualTo(JsonNull)
    }

    @Test
    fun `every experiment of the design page is listed, so that its target is measured`() {
        expectThat(experiments.map { it.name }).containsExactly(
            "heavy-user",
            "short-behind-long",
            "stragglers",
            "cross-region",
            "region-return",
            "cost",
            "config",
            "drain",
            "overhead",
        )
    }

    private fun result(policy: Double, baseline: Double) =
        ExperimentResult(policy, baseline, isMet = true, setup = emptyList(), rows = emptyList())

    private object StubExperiment : Experiment {
        override val name = "named"
        override val summary = "nothing"
        override val target = "at most 1"

        override fun run(seed: Long): ExperimentResult = error("not run")
    }
}
