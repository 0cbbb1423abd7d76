/*
 * The configuration fold: a pure function from a published snapshot and log to the configuration in force. The same
 * input gives the same version, digest and verdicts on every process, so no vote is needed.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.Serializable

/** A document with its place in the log. Later positions have a higher [sequence]. */
@Serializable
data class ConfigSnapshot(
    val sequence: ConfigSequence,
    val version: ConfigVersion,
    val configuration: Configuration,
)

/** Position and digest, as processes compare them. Equal sequences with unequal digests mean divergence. */
@Serializable
data class ConfigPosition(
    val sequence: ConfigSequence,
    val version: ConfigVersion,
    val digest: Long,
)

/** The state of the fold after some entry, and the verdict on that entry. */
data class FoldStep(val snapshot: ConfigSnapshot, val verdict: Verdict)

/**
 * The state after [entry]. A refused entry moves the sequence and leaves the version.
 *
 * @throws IllegalArgumentException if [entry] is not the direct successor of this snapshot.
 */
fun ConfigSnapshot.fold(entry: ConfigEntry): FoldStep {
    require(entry.sequence == sequence.next()) {
        "configuration entry ${entry.sequence} does not follow $sequence"
    }
    val verdict = evaluate(entry.patch)
    val moved = copy(sequence = entry.sequence)
    if (verdict !is Verdict.Accepted) return FoldStep(moved, verdict)
    val document = configuration.applied(entry.patch.changes)
    return FoldStep(moved.copy(version = verdict.version, configuration = document), verdict)
}

/** The verdict on [patch] if it were the next entry. */
fun ConfigSnapshot.evaluate(patch: Patch): Verdict {
    if (patch.base != version) return Verdict.Conflict(patch.base, version)
    val problems = configuration.missingRows(patch.changes) +
        configuration.applied(patch.changes).problems()
    if (problems.isNotEmpty()) return Verdict.Invalid(problems)
    return Verdict.Accepted(version.next())
}

/** The document after [changes], in their order, without validation. */
fun Configuration.applied(changes: List<Change>): Configuration =
    changes.fold(this) { document, change -> document.applied(change) }

private fun Configuration.applied(change: Change): Configuration = when (change) {
    is Change.PutRegion -> copy(regions = regions + (change.id to change.region))
    is Change.RemoveRegion -> copy(regions = regions - change.id)
    is Change.PutGroup -> copy(groups = groups + (change.id to change.group))
    is Change.RemoveGroup -> copy(groups = groups - change.id)
    is Change.PutService -> copy(services = services + (change.id to change.service))
    is Change.RemoveService -> copy(services = services - change.id)
    is Change.PutSubscriber -> copy(subscribers = subscribers + (change.id to change.subscriber))
    is Change.RemoveSubscriber -> copy(subscribers = subscribers - change.id)
}

private fun Configuration.missingRows(changes: List<Change>): List<ConfigProblem> =
    changes.mapNotNull { change ->
        when (change) {
            is Change.RemoveRegion -> missing("regions", change.id.value, change.id in regions)
            is Change.RemoveGroup -> missing("groups", change.id.value, change.id in groups)
            is Change.RemoveService -> missing("services", change.id.value, change.id in services)
            is Change.RemoveSubscriber ->
                missing("subscribers", change.id.value, change.id in subscribers)
            else -> null
        }
    }

private fun missing(table: String, id: String, present: Boolean): ConfigProblem? =
    if (present) null else ConfigProblem("$table.$id", "an existing row to remove", "no row")
