/*
 * Patches, by which operators change the configuration. A patch states the version that it was
 * written against, and is applied atomically: either all of its changes take effect or none does.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An atomic set of [changes] against version [base]. */
@Serializable
data class Patch(val base: ConfigVersion, val changes: List<Change>)

/** A patch and its position in the platform's log. */
@Serializable
data class ConfigEntry(val sequence: ConfigSequence, val patch: Patch)

/**
 * One change of a patch. A `Put` adds or replaces a row. A `Remove` of a row that does not exist
 * makes the patch invalid.
 */
@Serializable
sealed interface Change {
    @Serializable
    @SerialName("putRegion")
    data class PutRegion(val id: RegionId, val region: Region) : Change

    @Serializable
    @SerialName("removeRegion")
    data class RemoveRegion(val id: RegionId) : Change

    @Serializable
    @SerialName("putGroup")
    data class PutGroup(val id: SubscriberGroupId, val group: SubscriberGroup) : Change

    @Serializable
    @SerialName("removeGroup")
    data class RemoveGroup(val id: SubscriberGroupId) : Change

    @Serializable
    @SerialName("putService")
    data class PutService(val id: ServiceId, val service: Service) : Change

    @Serializable
    @SerialName("removeService")
    data class RemoveService(val id: ServiceId) : Change

    @Serializable
    @SerialName("putSubscriber")
    data class PutSubscriber(val id: SubscriberId, val subscriber: Subscriber) : Change

    @Serializable
    @SerialName("removeSubscriber")
    data class RemoveSubscriber(val id: SubscriberId) : Change
}

/** The result of checking one log entry. Every process reaches the same verdict. */
@Serializable
sealed interface Verdict {
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: ConfigVersion) : Verdict

    /** The patch was written against a version that was no longer in force. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val base: ConfigVersion, val inForce: ConfigVersion) : Verdict

    /** The patch would produce a document that violates the listed rules. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val problems: List<ConfigProblem>) : Verdict
}

/** A violated rule: the location in the document, what was expected and what was found. */
@Serializable
data class ConfigProblem(val path: String, val expected: String, val found: String)
