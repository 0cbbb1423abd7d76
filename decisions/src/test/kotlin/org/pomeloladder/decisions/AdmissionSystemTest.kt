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
    fun `a call without a key of a service that must not be repeated never reaches retries`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("orders-1", ORDERS)))

        val commands = test.tick(RequestArrived(request("r1").copy(service = ORDERS)))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(commands).filterIsInstance<RefuseRequest>().single()
            .get { refusal.reason }.isEqualTo(RefusalReason.BAD_REQUEST)
    }

    @Test
    fun `an idempotent plain service is not called with the protocol of engines`() {
        val base = testConfiguration()
        val plain = base.copy(services = base.services + (ORDERS to Service.Plain(true)))
        val test = TestWorld(configuration = plain)
        test.list(listOf(entryVm("norte-1")), listOf(server("orders-1", ORDERS)))

        val commands = test.tick(RequestArrived(request("r1").copy(service = ORDERS)))

        expectThat(commands).filterIsInstance<StartAttempt>().single()
            .get { call }.isEqualTo(BackendCall.CALL_SERVICE)
    }
}
