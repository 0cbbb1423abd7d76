package org.pomeloladder.traffic

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class EventSplitterTest {
    private val splitter = EventSplitter()
    private val events = ArrayList<Pair<Long?, String>>()

    private fun add(text: String) = splitter.add(Unpooled.copiedBuffer(text, Charsets.UTF_8)) {
        events += it.id to String(it.bytes)
    }

    // Guards against losing an event when its stream breaks within it.
    @Test
    fun `an event is emitted only when it is complete`() {
        add("id: 1\nda")
        expectThat(events.size).isEqualTo(0)
        expectThat(splitter.hasPartialEvent).isTrue()
        add("ta: x\n\nid: 2\n")

        expectThat(events.single()).isEqualTo(1L to "id: 1\ndata: x\n\n")
    }

    @Test
    fun `CRLF line endings separate events`() {
        add("id: 7\r\ndata: x\r\n\r\n")

        expectThat(events.single().first).isEqualTo(7L)
    }
}
