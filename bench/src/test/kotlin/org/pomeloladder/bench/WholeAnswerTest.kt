package org.pomeloladder.bench

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.EngineProfile
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.expectedAnswer
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo

private const val TOKENS = 80
private const val STREAMS = 24

class WholeAnswerTest {
    private val slow = EngineProfile(decodeMsPerToken = 20.0)

    @Test
    fun `streams whose owner is killed complete without gaps or text of other requests`() =
        withThreeRegions(profile = slow) { cluster ->
            val answers = cluster.streamAnswers { cluster.daemon(NORTE, 2).kill() }

            expectThat(answers.keys.map { it to answers[it] }).all {
                get { second }.isEqualTo(expectedAnswer(subject.first, TOKENS))
            }
        }

    @Test
    fun `answers held back at the engines do not mix when a peer is killed meanwhile`() =
        withThreeRegions(profile = slow) { cluster ->
            val answers = cluster.streamAnswers {
                val hold = Fault.Hold(BOTH_WAYS)
                cluster.enginesOf(NORTE).keys.forEach {
                    cluster.proxies.injectBackendFault(it, hold)
                }
                cluster.daemon(NORTE, 2).kill()
                Thread.sleep(500)
                cluster.proxies.heal()
            }

            expectThat(answers.keys.map { it to answers[it] }).all {
                get { second }.isEqualTo(expectedAnswer(subject.first, TOKENS))
            }
        }

    /**
     * Sends [STREAMS] concurrent chat requests through one entry VM, runs [disturb] while they are
     * in flight, and returns the answers by prompt.
     */
    private fun Cluster.streamAnswers(disturb: () -> Unit): Map<String, String> {
        val pool = Executors.newFixedThreadPool(STREAMS)
        val prompts = (1..STREAMS).map { "question $it of the fryer" }
        val answers = prompts.map { prompt ->
            pool.submit(Callable { prompt to caller(NORTE).chat(prompt, TOKENS) })
        }
        eventually("requests are in flight") {
            enginesOf(NORTE).values.all { it.requestCount >= 1 }
        }
        disturb()
        return answers.associate { it.get() }.also { pool.shutdown() }
    }
}
