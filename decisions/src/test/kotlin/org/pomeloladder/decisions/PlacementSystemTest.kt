package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Service
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.single

class PlacementSystemTest {
    private val engine = BackendServerId("engine-1")

    private fun world(checksFencing: Boolean) = TestWorld().apply {
        val record = server("engine-1").copy(checksFencing = checksFencing)
        list(listOf(entryVm("norte-1")), listOf(record))
    }

    @Test
    fun `a new owner of an unfenced engine waits, so it cannot overlap with a paused owner`() {
        val test = world(checksFencing = false)
        expectThat(test.advance(UNFENCED_WAIT_MS - 100)).filterIsInstance<EnsureModels>().isEmpty()

        expectThat(test.advance(1_000)).filterIsInstance<EnsureModels>().single()
            .get { models }.isEqualTo(setOf(ModelId("general-1")))
    }

    @Test
    fun `an order that the engine refused is sent again, but not before the retry delay`() {
        val test = world(checksFencing = true)
        val order = test.advance(1_000).filterIsInstance<EnsureModels>().single()
        test.tick(EngineOrderEnded(engine, order.fencing, EngineOrderOutcome.REFUSED))
        expectThat(test.advance(ENGINE_ORDER_RETRY_MS - 100))
            .filterIsInstance<EnsureModels>().isEmpty()

        val again = test.advance(1_000).filterIsInstance<EnsureModels>().single()
        test.tick(EngineOrderEnded(engine, again.fencing, EngineOrderOutcome.DONE))

        expectThat(test.advance(20_000)).filterIsInstance<EnsureModels>().isEmpty()
    }

    @Test
    fun `loads of many engines do not exceed the rate of the weight store`() {
        val servers = (1..40).map { server("engine-$it").copy(checksFencing = true) }
        val many = testConfiguration().let { configuration ->
            val service = Service.LanguageModel(
                ModelId("general-1"),
                replicasPerDomain = 40,
            )
            configuration.copy(services = configuration.services + (CHAT to service))
        }
        val test = TestWorld(configuration = many)
        test.list(listOf(entryVm("norte-1")), servers)

        val orders = test.advance(20_000).filterIsInstance<EnsureModels>()

        // Two failure domains share 60 loads a minute: 10 in 20 s, and the first at once.
        expectThat(orders.size).isLessThanOrEqualTo(11)
    }

    @Test
    fun `the placement does not depend on the order of the server list, so two owners agree`() {
        val servers = (1..5).map { server("engine-$it") }
        val configuration = testConfiguration()
        expectThat(configuration.desiredModels(servers.reversed()))
            .isEqualTo(configuration.desiredModels(servers))
    }

    @Test
    fun `an engine that restarted gets its models again without a change of its owner`() {
        val test = world(checksFencing = true)
        val first = test.advance(1_000).filterIsInstance<EnsureModels>().single()
        test.tick(EngineOrderEnded(engine, first.fencing, EngineOrderOutcome.DONE))
        expectThat(test.advance(ENGINE_ORDER_REPEAT_MS - 1_000)).filterIsInstance<EnsureModels>()
            .isEmpty()

        expectThat(test.advance(2_000)).filterIsInstance<EnsureModels>().single()
            .get { models }.isEqualTo(first.models)
    }

    @Test
    fun `repeated orders stay within the rate of the weight store and reach every engine`() {
        val servers = (1..10).map { server("engine-$it").copy(checksFencing = true) }
        val model = Service.LanguageModel(ModelId("general-1"), replicasPerDomain = 10)
        val base = testConfiguration()
        val test = TestWorld(configuration = base.copy(services = base.services + (CHAT to model)))
        test.list(listOf(entryVm("norte-1")), servers)

        val orders = (1..480).flatMap {
            val given = test.advance(500).filterIsInstance<EnsureModels>()
            given.forEach {
                test.tick(EngineOrderEnded(it.server.id, it.fencing, EngineOrderOutcome.DONE))
            }
            given
        }

        // Two failure domains share 60 loads a minute: 120 in 4 minutes, and the first at once.
        expectThat(orders.size).isLessThanOrEqualTo(121)
        val counts = servers.map { server -> orders.count { it.server.id == server.id } }
        expectThat(counts.min()).isGreaterThan(1)
    }
}
