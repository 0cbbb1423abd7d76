package org.pomeloladder.bench

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.VmState
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.EngineProfile
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.expectedAnswer
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

private const val TOKENS = 60

class LeavingTest {
    @Test
    fun `a leaving backend server gets no new requests, even over a slow platform connection`() =
        withThreeRegions { cluster ->
            val (leaving, engine) = cluster.enginesOf(NORTE).entries.first()
            val published = cluster.backendRecords(domainOf(NORTE))
            cluster.platform.publishBackends(
                domainOf(NORTE),
                published.map {
                    if (it.id == leaving) it.copy(state = VmState.LEAVING) else it
                },
            )
            cluster.proxies.injectPlatformFault(domainOf(NORTE), Fault.Delay(100))
            eventually("the leaving server receives no requests") {
                val before = engine.requestCount
                repeat(30) { cluster.caller(NORTE, 1 + it % 2).chat("question $it", 1) }
                engine.requestCount == before
            }
            val before = engine.requestCount

            val answers = (1..40).map { cluster.caller(NORTE, 1 + it % 2).chat("later $it", 2) }

            expectThat(answers).isEqualTo((1..40).map { expectedAnswer("later $it", 2) })
            expectThat(engine.requestCount).isEqualTo(before)
        }

    @Test
    fun `a graceful shutdown completes in-flight streams even with the platform cut off`() =
        withThreeRegions(profile = EngineProfile(decodeMsPerToken = 20.0)) { cluster ->
            val pool = Executors.newFixedThreadPool(12)
            val prompts = (1..12).map { "manual page $it" }
            val answers = prompts.map { prompt ->
                pool.submit(Callable { cluster.caller(NORTE).chat(prompt, TOKENS) })
            }
            eventually("requests are in flight") {
                cluster.enginesOf(NORTE).values.sumOf { it.requestCount } >= prompts.size
            }
            cluster.proxies.injectPlatformFault(domainOf(NORTE), Fault.Cut(BOTH_WAYS))

            val isEnded = cluster.daemon(NORTE).terminate(timeoutSeconds = 60)

            expectThat(isEnded).isTrue()
            expectThat(prompts.zip(answers)).all {
                get { second.get() }.isEqualTo(expectedAnswer(subject.first, TOKENS))
            }
            pool.shutdown()
        }
}
