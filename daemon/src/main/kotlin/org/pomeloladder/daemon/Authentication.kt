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

/** SHA-256 of [key] as the configuration writes it. */
fun hashApiKey(key: String): ApiKeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
    return ApiKeyHash(HexFormat.of().formatHex(digest))
}

/** The API key of a request, or null when it carries none. */
internal fun Request.apiKey(): String? =
    header("Authorization")?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)?.trim()

/** Subscribers by key hash. Rebuilt when the configuration changes, at the first request after it. */
internal class SubscriberIndex {
    private class Built(val of: ConfigSnapshot, val byHash: Map<ApiKeyHash, SubscriberId>)

    @Volatile
    private var built: Built? = null

    fun find(snapshot: ConfigSnapshot, key: String): SubscriberId? {
        val current = built?.takeIf { it.of === snapshot } ?: build(snapshot)
        return current.byHash[hashApiKey(key)]
    }

    private fun build(snapshot: ConfigSnapshot): Built {
        val byHash = HashMap<ApiKeyHash, SubscriberId>()
        for ((id, subscriber) in snapshot.configuration.subscribers) {
            subscriber.keyHashes.forEach { byHash[it] = id }
        }
        return Built(snapshot, byHash).also { built = it }
    }
}
