/*
 * Rendezvous hashing: all processes with the same candidates choose the same one for a key. Adding
 * or removing a candidate reassigns only the keys of that candidate.
 */
package org.pomeloladder.decisions

import net.openhft.hashing.LongHashFunction

private val hash: LongHashFunction = LongHashFunction.xx3()

/** Returns the score of [candidate] for [key]. The candidate with the highest score is chosen. */
fun rendezvousScore(key: Long, candidate: String): Long =
    LongHashFunction.xx3(key).hashChars(candidate)

/** Returns a hash of [text] for use as a key. */
fun hashKey(text: String): Long = hash.hashChars(text)

/** Returns the candidates in order of preference for [key]. Equal scores are ordered by [name]. */
inline fun <T> Iterable<T>.rendezvousOrder(key: Long, crossinline name: (T) -> String): List<T> =
    map { Triple(it, rendezvousScore(key, name(it)), name(it)) }
        .sortedWith(compareByDescending<Triple<T, Long, String>> { it.second }.thenBy { it.third })
        .map { it.first }

/** Returns the preferred candidate for [key], or null if there are no candidates. */
inline fun <T : Any> Iterable<T>.rendezvousFirst(key: Long, name: (T) -> String): T? =
    maxByOrNull { rendezvousScore(key, name(it)) }
