package org.pomeloladder.standins

import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EngineStandInTest {
    @Test
    fun `an answer is complete and deterministic, so tests can detect a wrong one`() =
        withEngine { engine ->
            expectThat(engine.answer("What is in the crab roll?", 12))
                .isEqualTo(expectedAnswer("What is in the crab roll?", 12))
        }

    @Test
    fun `a resumed answer starts at the requested token, so no token is repeated or skipped`() =
        withEngine { engine ->
            val whole = expectedAnswer("Why does the frother leak?", 9)
            val head = expectedAnswer("Why does the frother leak?", 4)

            expectThat(head + engine.answer("Why does the frother leak?", 9, resumeOffset = 4))
                .isEqualTo(whole)
        }

    @Test
    fun `only uncached prompt tokens are prefilled, so the effect of affinity is measurable`() =
        withEngine { engine ->
            val prompt = "menu ".repeat(400)
            engine.answer(prompt, 1)
            val afterFirst = engine.prefilledTokenCount
            engine.answer("$prompt?", 1)

            expectThat(engine.prefilledTokenCount - afterFirst).isEqualTo(1)
            expectThat(engine.cachedTokenCount).isGreaterThan(0)
        }

    @Test
    fun `only an engine that checks fencing rejects an order with an older fencing number`() {
        for (checksFencing in listOf(true, false)) {
            EngineStandIn(EngineProfile(), checksFencing = checksFencing).use { engine ->
                engine.start()
                val statuses = listOf("new" to 2, "old" to 1).map { (model, fencing) ->
                    val body = """{"models":["$model"],"fencing":$fencing}"""
                    http(Request(Method.PUT, "http://${engine.address}/models").body(body)).status
                }

                val second = if (checksFencing) Status.CONFLICT else Status.OK
                expectThat(statuses).isEqualTo(listOf(Status.OK, second))
                expectThat("old" in engine.loadedModels).isEqualTo(!checksFencing)
            }
        }
    }

    private fun withEngine(use: (EngineStandIn) -> Unit) {
        EngineStandIn(EngineProfile(decodeMsPerToken = 0.0)).use { engine ->
            engine.start()
            use(engine)
        }
    }

    private fun EngineStandIn.answer(
        prompt: String,
        maxTokens: Int,
        resumeOffset: Int = 0,
    ): String {
        val body = """{"model":"m","max_tokens":$maxTokens,"messages":[""" +
            """{"role":"user","content":"$prompt"}]}"""
        val request = Request(Method.POST, "http://$address/v1/chat/completions")
            .header("Resume-Offset", "$resumeOffset")
            .body(body)
        return http(request).bodyString().lines()
            .filter { it.startsWith("data: {") }
            .joinToString("") { line ->
                val choice = standInJson.parseToJsonElement(line.removePrefix("data: ")).jsonObject
                    .getValue("choices").jsonArray.first().jsonObject
                choice.getValue("delta").jsonObject["content"]?.jsonPrimitive?.content.orEmpty()
            }
    }

    private companion object {
        val http = JettyClient()
    }
}
