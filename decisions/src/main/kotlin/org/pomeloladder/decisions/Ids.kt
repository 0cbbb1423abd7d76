/*
 * Identifiers of requests, attempts and orders, and the incarnation that tells one run of an entry process from the next.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId

/** One call of a caller, unique across processes. Callers find it in the answer and use it with `explain`. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString() = value
}

/** One try to serve a request on one backend server, unique across processes. */
@Serializable
@JvmInline
value class AttemptId(val value: String) {
    override fun toString() = value
}

/** Tells two runs of the process on one VM apart. A later start has a higher value. */
@Serializable
@JvmInline
value class Incarnation(val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Hash of the start of a prompt. Requests with equal keys profit from the same prefix cache. */
@Serializable
@JvmInline
value class PrefixKey(val value: Long)

/**
 * Names the only process that may dispatch an order: the VM with its failure domain, the incarnation of its process, and
 * the epoch in which the token was given out. The domain is part of the token because a replaced VM leaves the VM list,
 * and its orders must still be looked up in its domain.
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

        /** Reads what [toString] wrote, or null when [text] is not a token. */
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
 * The key of an order: its home and the caller's own reference. Because the home is part of the key, two processes can
 * never both be entitled to dispatch one key.
 */
@Serializable
data class OrderKey(val home: HomeToken, val reference: String) {
    override fun toString() = "$home$SEPARATOR$reference"

    /**
     * The key that the plain service sees: this key and 16 hexadecimal digits of a hash of [subscriber]. A process that
     * is not the home cannot tell whose key it is, so a lookup by another subscriber has to find nothing. The hash need
     * not resist chosen collisions, because operators choose the subscriber ids.
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

        /** Whether [text] may stand as the caller's part of a key. */
        fun isReference(text: String) = REFERENCE.matches(text)

        /** Reads what [toString] wrote, or null when [text] is not a key. */
        fun parse(text: String): OrderKey? {
            val at = text.indexOf(SEPARATOR)
            if (at < 0) return null
            val home = HomeToken.parse(text.substring(0, at)) ?: return null
            val reference = text.substring(at + 1)
            return if (isReference(reference)) OrderKey(home, reference) else null
        }
    }
}
