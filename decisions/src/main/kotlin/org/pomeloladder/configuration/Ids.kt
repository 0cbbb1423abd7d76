/*
 * Identifiers that the configuration and the VM lists share with the decisions module. Each is a
 * value class, so the compiler rejects a VM id where a failure domain id is expected, without
 * run-time cost.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.Serializable

/** One virtual machine that runs an entry process. */
@Serializable
@JvmInline
value class VmId(val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId) = value.compareTo(other.value)

    override fun toString() = value
}

/** A region: the unit of data residency. */
@Serializable
@JvmInline
value class RegionId(val value: String) {
    override fun toString() = value
}

/** A failure domain: a unit that can become unreachable as a whole. Each lies in one region. */
@Serializable
@JvmInline
value class FailureDomainId(val value: String) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId) = value.compareTo(other.value)

    override fun toString() = value
}

/** A customer of the operator, and the unit of fair sharing. */
@Serializable
@JvmInline
value class SubscriberId(val value: String) {
    override fun toString() = value
}

/** Subscribers with the same services, regions and weight. */
@Serializable
@JvmInline
value class SubscriberGroupId(val value: String) {
    override fun toString() = value
}

/** A service that subscribers call: a language model or a plain service. */
@Serializable
@JvmInline
value class ServiceId(val value: String) {
    override fun toString() = value
}

/** One backend server: a model engine or one server of a plain service. */
@Serializable
@JvmInline
value class BackendServerId(val value: String) {
    override fun toString() = value
}

/** A model, adapter or model version that an engine can load. */
@Serializable
@JvmInline
value class ModelId(val value: String) {
    override fun toString() = value
}

/** SHA-256 of an API key in lower-case hexadecimal. */
@Serializable
@JvmInline
value class ApiKeyHash(val value: String) {
    override fun toString() = value
}

/** Version number of a configuration. Each accepted patch increases it by one. */
@Serializable
@JvmInline
value class ConfigVersion(val value: Long) : Comparable<ConfigVersion> {
    override fun compareTo(other: ConfigVersion) = value.compareTo(other.value)

    /** Returns the version that results from accepting a patch against this one. */
    fun next() = ConfigVersion(value + 1)

    override fun toString() = value.toString()
}

/** Bits of a position or revision that hold its number; those above hold its era. */
private const val NUMBER_BITS = 40

/**
 * A position in the platform's configuration log. Rejected entries have a position, too. [value]
 * orders positions by [era] and then by [number], which the service gives out again in a new era.
 */
@Serializable
@JvmInline
value class ConfigSequence(val value: Long) : Comparable<ConfigSequence> {
    val era: ConfigEra
        get() = ConfigEra(value shr NUMBER_BITS)

    val number: Long
        get() = value and (1L shl NUMBER_BITS) - 1

    override fun compareTo(other: ConfigSequence) = value.compareTo(other.value)

    /** Returns the position of the following log entry of the same era. */
    fun next() = ConfigSequence(value + 1)

    override fun toString() = if (era.value == 0L) "$number" else "$era:$number"
}

/** The period in which the configuration service wrote without coming back from an older copy. */
@Serializable
@JvmInline
value class ConfigEra(val value: Long) {
    /** Returns the era that begins when the service comes back from an older copy. */
    fun next() = ConfigEra(value + 1)

    /** Returns [number] of this era such that it is above all numbers of earlier eras. */
    fun order(number: Long): Long = (value shl NUMBER_BITS) or number

    override fun toString() = value.toString()

    companion object {
        /** The highest era that leaves room for a number. */
        const val MAX = Long.MAX_VALUE shr NUMBER_BITS
    }
}
