/*
 * Rendezvous hashing: every process that knows the same candidates picks the same one for a key, and a candidate that
 * comes or goes moves only its own keys.
 */
package org.pomeloladder.decisions

import net.openhft.hashing.LongHashFunction

private val hash: LongHashFunction = LongHashFunction.xx3()

/** The weight of [candidate] for [key]; the highest wins. */
fun rendezvousScore(key: Long, candidate: String): Long =
    LongHashFunction.xx3(key).hashChars(candidate)

/** Hash of [text], for use as a key. */
fun hashKey(text: String): Long = hash.hashChars(text)

/** The candidates in the order of preference for [key]. Equal scores are ordered by name. */
inline fun <T> Iterable<T>.rendezvousOrder(key: Long, crossinline name: (T) -> String): List<T> =
    map { Triple(it, rendezvousScore(key, name(it)), name(it)) }
        .sortedWith(compareByDescending<Triple<T, Long, String>> { it.second }.thenBy { it.third })
        .map { it.first }

/** The preferred candidate for [key], or null when there is none. */
inline fun <T : Any> Iterable<T>.rendezvousFirst(key: Long, name: (T) -> String): T? =
    maxByOrNull { rendezvousScore(key, name(it)) }
