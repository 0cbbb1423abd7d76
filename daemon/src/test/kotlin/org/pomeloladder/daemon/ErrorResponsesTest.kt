package org.pomeloladder.daemon

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ErrorResponsesTest {
    @Test
    fun `a caller's 401 carries a challenge, without which HTTP clients fail the call`() {
        val unauthorized = Refusal(RefusalReason.UNAUTHORIZED).toResponse()
        val bad = Refusal(RefusalReason.BAD_REQUEST).toResponse()

        expectThat(unauthorized.header("WWW-Authenticate")).isEqualTo("Bearer")
        expectThat(bad.header("WWW-Authenticate")).isNull()
    }
}
