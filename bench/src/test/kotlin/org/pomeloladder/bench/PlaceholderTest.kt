package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PlaceholderTest {
    @Test
    fun `a`() {
        expectThat(PLACEHOLDER).isEqualTo(1)
    }
}
