/*
 * Finds the subscriber of an API key. The configuration holds only hashes of keys.
 */
package org.pomeloladder.daemon

import java.security.MessageDigest
import java.util.HexFormat
import org.http4k.core.Request
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.SubscriberId

private const val BEARER = "Bearer "

/** Returns the SHA-256 of [key] in the format of the configuration. */
fun hashApiKey(key: String): ApiKeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
    return ApiKeyHash(HexFormat.of().formatHex(digest))
}

/** Returns the API key of a request, or null if it has none. */
internal fun Request.apiKey(): String? =
    header("Authorization")?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)?.trim()

/** Index of subscribers by key hash. Rebuilt on the first request after a configuration change. */
internal class SubscriberIndex {
    private class SnapshotIndex(
        val source: ConfigSnapshot,
        val byHash: Map<ApiKeyHash, SubscriberId>,
    )

    @Volatile
    private var currentIndex: SnapshotIndex? = null

    fun find(snapshot: ConfigSnapshot, key: String): SubscriberId? {
        val index = currentIndex?.takeIf { it.source === snapshot } ?: buildIndex(snapshot)
        return index.byHash[hashApiKey(key)]
    }

    private fun buildIndex(snapshot: ConfigSnapshot): SnapshotIndex {
        val byHash = HashMap<ApiKeyHash, SubscriberId>()
        for ((id, subscriber) in snapshot.configuration.subscribers) {
            subscriber.keyHashes.forEach { byHash[it] = id }
        }
        return SnapshotIndex(snapshot, byHash).also { currentIndex = it }
    }
}
