/*
 * Identifiers that configuration and VM lists share with the decisions. Each is a value class, so that a VM id cannot
 * be passed where a failure domain id is expected, at no cost at run time.
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

/** A failure domain: the unit that can be cut off as a whole. Each lies in one region. */
@Serializable
@JvmInline
value class FailureDomainId(val value: String) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId) = value.compareTo(other.value)

    override fun toString() = value
}

/** One customer of an operator: the unit of fair sharing. */
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

/** Number of an accepted configuration. Each accepted patch raises it by one. */
@Serializable
@JvmInline
value class ConfigVersion(val value: Long) : Comparable<ConfigVersion> {
    override fun compareTo(other: ConfigVersion) = value.compareTo(other.value)

    /** The version that an accepted patch against this one creates. */
    fun next() = ConfigVersion(value + 1)

    override fun toString() = value.toString()
}

/** Position in the platform's configuration log. Refused entries take a position as well. */
@Serializable
@JvmInline
value class ConfigSequence(val value: Long) : Comparable<ConfigSequence> {
    override fun compareTo(other: ConfigSequence) = value.compareTo(other.value)

    /** The position of the following log entry. */
    fun next() = ConfigSequence(value + 1)

    override fun toString() = value.toString()
}
