/*
 * Checks a patch by the same rules as the configuration log, without writing anything.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.Verdict
import org.pomeloladder.configuration.applied
import org.pomeloladder.configuration.evaluate

/** Evaluates [patch] against this snapshot and lists the rows that it changes. */
internal fun ConfigSnapshot.check(patch: Patch): PatchCheck {
    val verdict = evaluate(patch)
    val after = configuration.applied(patch.changes)
    val changes = patch.changes.distinctBy { it.path() }.map {
        RowChange(it.path(), configuration.row(it), after.row(it))
    }
    return PatchCheck(
        verdict = verdict.code(),
        base = patch.base.value,
        inForce = version.value,
        versionAfter = (verdict as? Verdict.Accepted)?.version?.value,
        problems = verdict.problems(),
        changes = changes.filter { it.before != it.after },
        publish = if (verdict is Verdict.Accepted) daemonJson.encodeToJsonElement(patch) else null,
    )
}

private fun Change.path(): String = when (this) {
    is Change.PutRegion -> "regions.$id"
    is Change.RemoveRegion -> "regions.$id"
    is Change.PutGroup -> "groups.$id"
    is Change.RemoveGroup -> "groups.$id"
    is Change.PutService -> "services.$id"
    is Change.RemoveService -> "services.$id"
    is Change.PutSubscriber -> "subscribers.$id"
    is Change.RemoveSubscriber -> "subscribers.$id"
}

private fun Configuration.row(change: Change): JsonElement? = when (change) {
    is Change.PutRegion -> encode(regions[change.id])
    is Change.RemoveRegion -> encode(regions[change.id])
    is Change.PutGroup -> encode(groups[change.id])
    is Change.RemoveGroup -> encode(groups[change.id])
    is Change.PutService -> encode(services[change.id])
    is Change.RemoveService -> encode(services[change.id])
    is Change.PutSubscriber -> encode(subscribers[change.id])
    is Change.RemoveSubscriber -> encode(subscribers[change.id])
}

private inline fun <reified T : Any> encode(row: T?): JsonElement? =
    row?.let { daemonJson.encodeToJsonElement(it) }
