/*
 * The digest of a configuration document: the sum of the hashes of its rows. The sum does not
 * depend on row order, and a change requires hashing only the affected rows.
 */
package org.pomeloladder.configuration

import net.openhft.hashing.LongHashFunction

private val hash: LongHashFunction = LongHashFunction.xx3()

/** Returns the digest of the document. Equal documents have equal digests in every process. */
fun Configuration.digest(): Long {
    var sum = 0L
    regions.forEach { (id, row) -> sum += rowDigest("region", id.value, row.canonical()) }
    groups.forEach { (id, row) -> sum += rowDigest("group", id.value, row.canonical()) }
    services.forEach { (id, row) -> sum += rowDigest("service", id.value, row.canonical()) }
    subscribers.forEach { (id, row) -> sum += rowDigest("subscriber", id.value, row.canonical()) }
    return sum
}

/**
 * Returns the digest after applying [changes] to this document, whose own digest is [before].
 * Hashes only the affected rows.
 */
fun Configuration.digestAfter(before: Long, changes: List<Change>): Long {
    var sum = before
    var document = this
    for (change in changes) {
        sum -= document.digestOfRow(change)
        document = document.applied(listOf(change))
        sum += document.digestOfRow(change)
    }
    return sum
}

private fun Configuration.digestOfRow(change: Change): Long = when (change) {
    is Change.PutRegion -> regions[change.id].digest("region", change.id.value) { it.canonical() }
    is Change.RemoveRegion -> regions[change.id].digest("region", change.id.value) {
        it.canonical()
    }
    is Change.PutGroup -> groups[change.id].digest("group", change.id.value) { it.canonical() }
    is Change.RemoveGroup -> groups[change.id].digest("group", change.id.value) { it.canonical() }
    is Change.PutService -> services[change.id].digest("service", change.id.value) {
        it.canonical()
    }
    is Change.RemoveService ->
        services[change.id].digest("service", change.id.value) { it.canonical() }
    is Change.PutSubscriber ->
        subscribers[change.id].digest("subscriber", change.id.value) { it.canonical() }
    is Change.RemoveSubscriber ->
        subscribers[change.id].digest("subscriber", change.id.value) { it.canonical() }
}

private inline fun <T : Any> T?.digest(table: String, id: String, canonical: (T) -> String): Long =
    if (this == null) 0L else rowDigest(table, id, canonical(this))

private fun rowDigest(table: String, id: String, row: String) = hash.hashChars("$table/$id/$row")

// Sorts sets, because equal sets may have a different iteration order in another process.
private fun Region.canonical() = domains.map { it.value }.sorted().joinToString(",")

private fun SubscriberGroup.canonical() = listOf(
    services.map { it.value }.sorted().joinToString(","),
    regions.map { it.value }.sorted().joinToString(","),
    weight,
    deadlineMs,
).joinToString("|")

private fun Subscriber.canonical() = listOf(
    group,
    keyHashes.map { it.value }.sorted().joinToString(","),
    homeRegion?.value.orEmpty(),
).joinToString("|")

private fun Service.canonical() = when (this) {
    is Service.LanguageModel ->
        "model|$model|${adapters.map { it.value }.sorted().joinToString(",")}|$replicasPerDomain"
    is Service.Plain -> "plain|$idempotent"
}
