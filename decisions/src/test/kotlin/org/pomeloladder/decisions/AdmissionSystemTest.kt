package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Service
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class AdmissionSystemTest {
    @Test
    fun `a call of a non-idempotent service without an order key is refused and never retried`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("orders-1", ORDERS)))

        val commands = test.tick(RequestArrived(request("r1").copy(service = ORDERS)))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(commands).filterIsInstance<RefuseRequest>().single()
            .get { refusal.reason }.isEqualTo(RefusalReason.BAD_REQUEST)
    }

    @Test
    fun `an idempotent plain service is not called with the engine protocol`() {
        val base = testConfiguration()
        val plain = base.copy(services = base.services + (ORDERS to Service.Plain(true)))
        val test = TestWorld(configuration = plain)
        test.list(listOf(entryVm("norte-1")), listOf(server("orders-1", ORDERS)))

        val commands = test.tick(RequestArrived(request("r1").copy(service = ORDERS)))

        expectThat(commands).filterIsInstance<StartAttempt>().single()
            .get { call }.isEqualTo(BackendCall.CALL_SERVICE)
    }

    @Test
    fun `a draining process accepts lookups and withdrawals, which start no work`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("orders-1", ORDERS)))
        test.tick(DrainRequested)
        val spec = request("r1", order = OrderKey(test.world.ownHomeToken(), "ref"))

        val lookUp = test.tick(RequestArrived(spec.copy(orderCall = OrderCall.LOOK_UP)))
        val withdrawal = spec.copy(id = RequestId("r2"), orderCall = OrderCall.WITHDRAW)
        val withdrawn = test.tick(RequestArrived(withdrawal))

        expectThat(lookUp).filterIsInstance<StartAttempt>().single()
            .get { call }.isEqualTo(BackendCall.LOOK_UP_ORDER)
        expectThat(withdrawn).filterIsInstance<RefuseRequest>().single()
            .get { refusal.reason }.isEqualTo(RefusalReason.WITHDRAWN)
    }
}
