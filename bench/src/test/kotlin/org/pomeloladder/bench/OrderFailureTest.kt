package org.pomeloladder.bench

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import org.http4k.core.Response
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Direction
import org.pomeloladder.standins.Fault
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val ORDERS = 40
private const val SEED = 7

class OrderFailureTest {
    @Test
    fun `an order retried after a lost response runs at most once`() = withThreeRegions { cluster ->
        val key = "${cluster.homeToken(NORTE)}~lost-answer"
        val lost = Fault.Cut(setOf(Direction.TO_SOURCE))
        cluster.proxies.injectBackendFault(cluster.orderServerOf(NORTE), lost)
        val pool = Executors.newSingleThreadExecutor()
        val first = pool.submit(Callable { cluster.caller(NORTE).orderResponse(key) })
        Thread.sleep(500)
        cluster.proxies.heal()

        val repeats = (1..5).map { cluster.caller(NORTE, 1 + it % 2).orderResponse(key) }

        first.get()
        pool.shutdown()
        expectThat(cluster.executionsOf(key)).isLessThanOrEqualTo(1)
        expectThat(repeats.filter { it.reportsNotRun() && cluster.executionsOf(key) > 0 })
            .isEqualTo(emptyList())
    }

    @Test
    fun `orders run at most once and not-run is never false when homes die and links break`() =
        withThreeRegions { cluster ->
            val random = Random(SEED)
            cluster.orderServices.values.forEach { it.executeDelayMs = 30 }
            val tokens = (1..2).map { cluster.homeToken(NORTE, it) }
            val pool = Executors.newFixedThreadPool(8)
            val calls = (1..ORDERS).map { number ->
                val key = "${tokens[number % 2]}~order-$number"
                pool.submit(
                    Callable {
                        key to (1..3).map { cluster.caller(NORTE, 1).orderResponse(key) }
                    },
                )
            }
            repeat(3) {
                Thread.sleep(random.nextLong(50, 200))
                val cut = Fault.Cut(BOTH_WAYS)
                cluster.proxies.injectPeerFault(vmOf(NORTE, 1), vmOf(NORTE, 2), cut)
                Thread.sleep(random.nextLong(50, 200))
                cluster.proxies.heal()
            }
            cluster.daemon(NORTE, 2).kill()

            val answers = calls.associate { it.get() }
            pool.shutdown()

            expectThat(answers.keys.map(cluster::executionsOf)).all { isLessThanOrEqualTo(1) }
            val falseNotRun = answers.filter { (key, responses) ->
                cluster.executionsOf(key) > 0 && responses.last().reportsNotRun()
            }
            expectThat(falseNotRun.keys).isEqualTo(emptySet())
        }

    @Test
    fun `an order that the network holds and delivers twice runs at most once`() =
        withThreeRegions { cluster ->
            val key = "${cluster.homeToken(NORTE, 2)}~twice"
            cluster.proxies.injectPeerFault(vmOf(NORTE, 1), vmOf(NORTE, 2), Fault.Duplicate)

            cluster.caller(NORTE, 1).orderResponse(key)

            expectThat(cluster.executionsOf(key)).isLessThanOrEqualTo(1)
        }

    @Test
    fun `an order sent to a paused home runs at most once after the home resumes`() =
        withThreeRegions { cluster ->
            val key = "${cluster.homeToken(NORTE, 2)}~paused-home"
            cluster.daemon(NORTE, 2).signal("STOP")
            val pool = Executors.newSingleThreadExecutor()
            val call = pool.submit(Callable { cluster.caller(NORTE, 1).orderResponse(key) })
            Thread.sleep(3_000)
            cluster.daemon(NORTE, 2).signal("CONT")

            val repeats = (1..3).map { cluster.caller(NORTE, 1).orderResponse(key) }

            call.get()
            pool.shutdown()
            expectThat(cluster.executionsOf(key)).isLessThanOrEqualTo(1)
            expectThat(repeats.count { it.reportsNotRun() && cluster.executionsOf(key) > 0 })
                .isEqualTo(0)
        }
}

private fun Response.reportsNotRun() = !status.successful && "\"not-run\"" in bodyString()
