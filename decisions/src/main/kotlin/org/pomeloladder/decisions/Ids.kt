/*
 * Identifiers of requests, attempts and orders, and of the successive runs of an entry process.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId

/** A caller's request, unique across processes. Returned to the caller for use with `explain`. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString() = value
}

/** An attempt to serve a request on one backend server, unique across processes. */
@Serializable
@JvmInline
value class AttemptId(val value: String) {
    override fun toString() = value
}

/** Distinguishes the runs of the process on one VM. A later run has a higher value. */
@Serializable
@JvmInline
value class Incarnation(val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Hash of the start of a prompt. Requests with equal keys benefit from the same prefix cache. */
@Serializable
@JvmInline
value class PrefixKey(val value: Long)

/**
 * Identifies the only process that may dispatch an order: the VM and its failure domain, the
 * incarnation of its process, and the epoch in which the token was issued. The token includes the
 * domain because a replaced VM is removed from the VM list, while its orders must still be looked
 * up in its domain.
 */
@Serializable
data class HomeToken(
    val domain: FailureDomainId,
    val vm: VmId,
    val incarnation: Incarnation,
    val epoch: Long,
) {
    override fun toString() = "$domain:$vm.$incarnation.$epoch"

    companion object {
        private val TOKEN = Regex("([^:~]+):([^:~]+)\\.(\\d{1,18})\\.(\\d{1,18})")

        /** Parses the format of [toString], or returns null if [text] is not a token. */
        fun parse(text: String): HomeToken? {
            val (domain, vm, incarnation, epoch) = TOKEN.matchEntire(text)?.destructured
                ?: return null
            return HomeToken(
                FailureDomainId(domain),
                VmId(vm),
                Incarnation(incarnation.toLong()),
                epoch.toLong(),
            )
        }
    }
}

/**
 * The key of an order: its home and a reference chosen by the caller. Because the home is part of
 * the key, at most one process may dispatch a given key.
 */
@Serializable
data class OrderKey(val home: HomeToken, val reference: String) {
    override fun toString() = "$home$SEPARATOR$reference"

    /**
     * Returns the key that the plain service sees: this key and a hash of [subscriber] as 16
     * hexadecimal digits. A process other than the home cannot tell which subscriber a key belongs
     * to, so the hash makes a lookup by another subscriber find nothing. The hash need not be
     * collision-resistant, because operators choose the subscriber ids.
     */
    fun idempotencyKey(subscriber: SubscriberId): String {
        val hash = hashKey(subscriber.value).toULong().toString(HEXADECIMAL)
        return "$this$SEPARATOR${hash.padStart(HASH_DIGITS, '0')}"
    }

    companion object {
        private const val SEPARATOR = '~'
        private const val HEXADECIMAL = 16
        private const val HASH_DIGITS = 16
        private val REFERENCE = Regex("[A-Za-z0-9_-]{1,64}")

        /** Returns whether [text] is valid as the caller's part of a key. */
        fun isReference(text: String) = REFERENCE.matches(text)

        /** Parses the format of [toString], or returns null if [text] is not a key. */
        fun parse(text: String): OrderKey? {
            val separatorIndex = text.indexOf(SEPARATOR)
            if (separatorIndex < 0) return null
            val home = HomeToken.parse(text.substring(0, separatorIndex)) ?: return null
            val reference = text.substring(separatorIndex + 1)
            return if (isReference(reference)) OrderKey(home, reference) else null
        }
    }
}
