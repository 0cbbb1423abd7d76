package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PrefixCacheTest {
    private val cache = PrefixCache()
    private val first = PromptPart(PartId(1), 100)
    private val second = PromptPart(PartId(2), 50)

    @Test
    fun `a part counts as cached only when all parts before it are cached`() {
        cache.add(second, 1_000)
        expectThat(cache.cachedTokens(listOf(first, second))).isEqualTo(0)
        cache.add(first, 1_000)
        expectThat(cache.cachedTokens(listOf(first, second))).isEqualTo(150)
    }

    @Test
    fun `the least recently used parts are evicted first, as at the engine`() {
        (1L..20L).forEach { cache.add(PromptPart(PartId(it), 100), 1_000) }

        expectThat(cache.cachedTokens(listOf(PromptPart(PartId(1), 100)))).isEqualTo(0)
        expectThat(cache.cachedTokens(listOf(PromptPart(PartId(20), 100)))).isEqualTo(100)
    }
}
