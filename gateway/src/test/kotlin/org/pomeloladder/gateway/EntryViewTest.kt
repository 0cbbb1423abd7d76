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
    fun `a caller is directed to the entry VMs of its own region if there are any`() {
        val view = view(entry("n", NORTH), entry("s", SOUTH))

        expectThat(view.entriesFor("homed", SOUTH).map { it.vm.value }).isEqualTo(listOf("s"))
    }

    // Guards against sending bodies to a region that is not a home because the directory does not
    // know the homes: the process has no view yet, or one without the host (HOME).
    @Test
    fun `a caller of an unknown host is directed to the entry VMs of its own region only`() {
        val view = view(entry("s", SOUTH))
        val withoutView = EntryView(entries = view.entries)

        expectThat(withoutView.entriesFor("homed", NORTH)).isEmpty()
        expectThat(view.entriesFor("unknown", NORTH)).isEmpty()
        expectThat(view.entriesFor("unknown", SOUTH).map { it.vm.value }).isEqualTo(listOf("s"))
    }

    @Test
    fun `callers from a region without entry VMs are sent to regions allowed for the host`() {
        val view = view(entry("s", SOUTH))

        expectThat(view.entriesFor("homed", NORTH)).isEmpty()
        expectThat(view.entriesFor("host", NORTH).map { it.vm.value }).isEqualTo(listOf("s"))
    }
}
