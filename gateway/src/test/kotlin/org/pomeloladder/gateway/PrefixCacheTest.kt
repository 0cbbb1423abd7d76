package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PrefixCacheTest {
    private val cache = PrefixCache()
    private val menu = PromptPart(PartId(1), 100)
    private val dish = PromptPart(PartId(2), 50)

    @Test
    fun `a part counts only when all parts before it are there`() {
        cache.add(dish, 1_000)
        expectThat(cache.cachedTokens(listOf(menu, dish))).isEqualTo(0)
        cache.add(menu, 1_000)
        expectThat(cache.cachedTokens(listOf(menu, dish))).isEqualTo(150)
    }

    @Test
    fun `the least recently used parts yield, as they do at the engine`() {
        (1L..20L).forEach { cache.add(PromptPart(PartId(it), 100), 1_000) }

        expectThat(cache.cachedTokens(listOf(PromptPart(PartId(1), 100)))).isEqualTo(0)
        expectThat(cache.cachedTokens(listOf(PromptPart(PartId(20), 100)))).isEqualTo(100)
    }
}
