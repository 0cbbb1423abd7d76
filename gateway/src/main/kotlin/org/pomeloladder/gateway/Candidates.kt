/*
 * Which servers a call compares. An engine reads prompts between the events of its streams, so a few long prompts in a row
 * stop all streams there. Long prompts and long answers therefore use different engines: those before and after a
 * boundary in an order that all VMs give to the engines of a region. What other VMs placed is known late, so a call
 * compares a few servers of its side, and some of all for when its side is crowded.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.decisions.rendezvousOrder

/** Most servers that a call compares. */
private const val MOST_COMPARED = 7

/** Servers among them that rendezvous prefers for the call's shared parts. */
private const val PREFERRED_COMPARED = 2

/** Shared parts with fewer tokens are read again in less time than the choice of a busier server costs. */
private const val LEAST_SHARED_TOKENS = 512

/** Servers of the call's side among them, the preferred ones included. */
private const val SIDE_COMPARED = 5

/** Prompt tokens that take an engine about as long as one generated token in a batch of usual size. */
private const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10

/** The work of a call that takes most of an engine's time. */
enum class WorkSide { READING, GENERATING }

/** The servers that a call compares, and the one of them that every process prefers for its shared parts. */
internal class Candidates(val servers: Collection<Backend>, val preferred: Backend?)

/** Chooses among [usable], which is not empty. */
internal fun candidatesOf(
    state: ServiceState,
    prompt: Prompt?,
    usable: List<Backend>,
    random: Random,
): Candidates {
    val side = if (prompt == null) usable else serversOf(state, sideOf(prompt), usable)
    val part = prompt?.sharedParts?.lastOrNull()?.takeIf { it.tokens >= LEAST_SHARED_TOKENS }
    val order = part?.let { side.rendezvousOrder(it.id.value) { server -> server.id.value } }
    if (usable.size <= MOST_COMPARED) return Candidates(usable, order?.first())
    val chosen = LinkedHashSet<Backend>()
    order?.let { chosen += it.take(PREFERRED_COMPARED) }
    while (chosen.size < minOf(SIDE_COMPARED, side.size)) chosen += side[random.nextInt(side.size)]
    while (chosen.size < MOST_COMPARED) chosen += usable[random.nextInt(usable.size)]
    return Candidates(chosen, order?.first())
}

internal fun sideOf(prompt: Prompt): WorkSide {
    val generated = prompt.outputTokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN
    return if (generated < prompt.promptTokens) WorkSide.READING else WorkSide.GENERATING
}

/** The servers of [usable] on [side], or all when there is none. */
internal fun serversOf(state: ServiceState, side: WorkSide, usable: List<Backend>): List<Backend> =
    usable.filter { isOn(state, side, it) }.ifEmpty { usable }

internal fun isOn(state: ServiceState, side: WorkSide, backend: Backend): Boolean = when (side) {
    WorkSide.READING -> backend.position < state.readingPart
    WorkSide.GENERATING -> backend.position >= state.readingPart
}
