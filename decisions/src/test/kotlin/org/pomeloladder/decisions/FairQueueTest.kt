package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Subscriber
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class FairQueueTest {
    private val heavy = SubscriberId("heavy")
    private val light = SubscriberId("light")
    private val test = TestWorld()
    private val queue = FairQueue()
    private val idle = BackendServer(server("engine-1")).also { it.windowSize = 8 }

    private fun offer(id: String, subscriber: SubscriberId, promptTokens: Int = 100): Attempt {
        val spec = request(id, subscriber, promptTokens)
        val attempt = Attempt(
            id = AttemptId(id),
            spec = spec,
            origin = Origin.Local,
            place = Place.Queued(idle.id),
            createdMs = 0,
            deadlineMs = 10_000,
        )
        queue.offer(test.world, attempt)
        return attempt
    }

    private fun pollAll() = generateSequence { queue.poll(test.world, idle)?.id?.value }.toList()

    @Test
    fun `a burst of one subscriber does not delay the first request of another`() {
        for (number in 1..3) offer("h$number", heavy)
        offer("l1", light)

        expectThat(pollAll()).containsExactly("h1", "l1", "h2", "h3")
    }

    @Test
    fun `a heavy subscriber gains nothing by switching from a peer that reports its usage`() {
        test.list(listOf(entryVm("norte-1"), entryVm("norte-2")), emptyList())
        test.tick(
            test.heartbeat("norte-2") {
                copy(heaviest = listOf(SubscriberLoad(heavy, 5_000), SubscriberLoad(light, 50)))
            },
        )
        test.advance(1_000)
        offer("h1", heavy)
        offer("l1", light)
        offer("l2", light)

        expectThat(pollAll()).containsExactly("l1", "l2", "h1")
    }

    @Test
    fun `a heavy subscriber with a long queue leaves slots for others that have no work yet`() {
        test.world.process.meanUsageTokens = 100.0
        test.world.charge(heavy, 1_000, test.nowMs)
        idle.inFlightBySubscriber[heavy] = 2
        idle.inFlight = 2
        offer("h1", heavy)

        expectThat(queue.poll(test.world, idle)).isNull()
        offer("l1", light)
        expectThat(pollAll()).containsExactly("l1")
        idle.inFlightBySubscriber[heavy] = 1
        expectThat(pollAll()).containsExactly("h1")
    }

    @Test
    fun `a group with twice the weight gets twice as much work done`() {
        val ids = listOf("double", "single")
        val document = testConfiguration()
        val group = document.groups.getValue(GROUP)
        val weighted = document.copy(
            groups = mapOf(
                SubscriberGroupId("double") to group.copy(weight = 2),
                SubscriberGroupId("single") to group,
            ),
            subscribers = ids.associate {
                SubscriberId(it) to Subscriber(SubscriberGroupId(it), emptySet())
            },
        )
        test.world.configuration.snapshot =
            ConfigSnapshot(ConfigSequence(2), ConfigVersion(2), weighted)
        for (number in 1..6) ids.forEach { offer("$it-$number", SubscriberId(it)) }

        expectThat(pollAll().take(6).count { it.startsWith("double") }).isEqualTo(4)
    }

    @Test
    fun `long work does not take the slots reserved for short work`() {
        idle.longAttemptsInFlight = 6
        offer("long", heavy, promptTokens = 10_000)

        expectThat(queue.poll(test.world, idle)).isNull()
        offer("short", light)
        expectThat(pollAll()).containsExactly("short")
    }

    @Test
    fun `a second long prompt waits for the first one, so short work waits for at most one`() {
        idle.longPromptsPending = 1
        offer("long", heavy, promptTokens = 10_000)

        expectThat(queue.poll(test.world, idle)).isNull()
    }

    @Test
    fun `a stream of short work does not starve long work`() {
        offer("long", heavy, promptTokens = 10_000)
        for (number in 1..9) offer("s$number", light)

        expectThat(pollAll().indexOf("long")).isEqualTo(4)
    }

    @Test
    fun `an attempt removed from the queue is not dispatched`() {
        val attempt = offer("l1", light)

        expectThat(queue.remove(attempt.id)).isTrue()
        expectThat(queue.remove(attempt.id)).isFalse()
        expectThat(pollAll()).containsExactly()
    }

    @Test
    fun `a full queue of one subscriber displaces work for another subscriber only`() {
        for (number in 1..3) offer("h$number", heavy)
        val newcomer = Attempt(AttemptId("l1"), request("l1", light), Origin.Local, idlePlace, 0, 1)
        val own = Attempt(AttemptId("h4"), request("h4", heavy), Origin.Local, idlePlace, 0, 1)

        expectThat(queue.displacedBy(newcomer)?.id?.value).isEqualTo("h3")
        expectThat(queue.displacedBy(own)).isNull()
    }

    private val idlePlace = Place.Queued(idle.id)
}
