package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.RegionId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class EntryViewTest {
    private fun entry(name: String, region: RegionId): EntryPoint {
        val identity = identity(name, region)
        return EntryPoint(identity.vm, identity.callers, identity.region, identity.domain)
    }

    private fun view(vararg entries: EntryPoint) = EntryView(
        entries = entries.toList(),
        publishedView = PublishedView(
            1,
            catalog(
                route("free"),
                route("homed") {
                    host = "homed"
                    homes = setOf(NORTH)
                },
            ),
            emptyList(),
            emptySet(),
        ),
    )

    @Test
    fun `a caller gets the entry VMs of its region while there are any`() {
        val view = view(entry("n", NORTH), entry("s", SOUTH))

        expectThat(view.entriesFor("homed", SOUTH).map { it.vm.value }).isEqualTo(listOf("s"))
    }

    @Test
    fun `a region without entry VMs is not sent to one that may not have its data`() {
        val view = view(entry("s", SOUTH))

        expectThat(view.entriesFor("homed", NORTH)).isEmpty()
        expectThat(view.entriesFor("host", NORTH).map { it.vm.value }).isEqualTo(listOf("s"))
    }
}
