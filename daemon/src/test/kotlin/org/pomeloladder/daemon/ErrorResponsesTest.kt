package org.pomeloladder.daemon

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ErrorResponsesTest {
    @Test
    fun `a 401 response to a caller contains the challenge that HTTP clients require`() {
        val unauthorized = Refusal(RefusalReason.UNAUTHORIZED).toResponse()
        val bad = Refusal(RefusalReason.BAD_REQUEST).toResponse()

        expectThat(unauthorized.header("WWW-Authenticate")).isEqualTo("Bearer")
        expectThat(bad.header("WWW-Authenticate")).isNull()
    }
}
