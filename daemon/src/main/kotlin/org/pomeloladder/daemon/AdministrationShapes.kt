/*
 * JSON formats of the administration API. Ids are plain strings, so that the command-line tool and
 * other programs do not depend on types of the control state. Ages and durations are in
 * milliseconds. docs/administration.yaml describes the same formats.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * The configuration in force on one process. [version], [sequence] and [digest] are null before the
 * first snapshot.
 */
@Serializable
data class ConfigurationStatus(
    val vm: String,
    val version: Long?,
    val sequence: Long?,
    val digest: String?,
    val ageMs: Long,
    val highestSeenSequence: Long?,
    val isPlatformReachable: Boolean,
    val isWatchingPlatform: Boolean,
    val peers: List<PeerConfiguration>,
    val verdicts: List<VerdictStatus>,
)

/** The configuration of another entry VM, as reported by its last heartbeat. */
@Serializable
data class PeerConfiguration(
    val vm: String,
    val domain: String,
    val version: Long?,
    val sequence: Long?,
    val digest: String?,
    val heardAgoMs: Long,
)

/** The verdict on one entry of the configuration log: `accepted`, `conflict` or `invalid`. */
@Serializable
data class VerdictStatus(
    val sequence: Long,
    val verdict: String,
    val version: Long? = null,
    val problems: List<ProblemStatus> = emptyList(),
)

/** A violated rule: the path of the field, the expected value and the value found. */
@Serializable
data class ProblemStatus(val path: String, val expected: String, val found: String)

/**
 * The verdict that every process would reach on a patch if it were the next entry of the log.
 * [publish] is the patch to publish, or null if the patch would be refused. Nothing is written.
 */
@Serializable
data class PatchCheck(
    val verdict: String,
    val base: Long,
    val inForce: Long,
    val versionAfter: Long? = null,
    val problems: List<ProblemStatus> = emptyList(),
    val changes: List<RowChange> = emptyList(),
    val publish: JsonElement? = null,
)

/** One row that a patch changes. [before] is null for a new row and [after] for a removed one. */
@Serializable
data class RowChange(val path: String, val before: JsonElement?, val after: JsonElement?)

@Serializable
data class GroupStatus(
    val group: String,
    val services: List<String>,
    val regions: List<String>,
    val weight: Int,
    val deadlineMs: Long,
    val subscribers: Int,
)

/** A service: `model` with its model name, or `plain`. */
@Serializable
data class ServiceStatus(
    val service: String,
    val kind: String,
    val model: String?,
    val isIdempotent: Boolean,
)

@Serializable
data class RegionStatus(val region: String, val domains: List<String>)

/** Decayed usage of a group in cost tokens: measured by this process and reported by its peers. */
@Serializable
data class UsageStatus(
    val group: String,
    val activeSubscribers: Int,
    val ownCostTokens: Long,
    val peerCostTokens: Long,
    val requests: Int,
)

/** A backend server of the process's own failure domain. Counts are exact when [isOwnedHere]. */
@Serializable
data class BackendStatus(
    val server: String,
    val domain: String,
    val address: String,
    val services: List<String>,
    val owner: String?,
    val isOwnedHere: Boolean,
    val window: Int,
    val concurrency: Int,
    val inFlight: Int,
    val queued: Int,
    val firstTokenMs: Long,
    val isLeaving: Boolean,
    val ejectedForMs: Long,
    val unreachableForMs: Long,
)

/** An entry VM as seen by the responding process. */
@Serializable
data class EntryStatus(
    val vm: String,
    val domain: String,
    val region: String?,
    val address: String,
    val liveness: String,
    val isDraining: Boolean,
    val isLeaving: Boolean,
    val heardAgoMs: Long,
)

@Serializable
data class DrainResponse(val vm: String, val isDraining: Boolean, val requestsInFlight: Int)

/**
 * One process's trace of a request. The ingress and the owner of the backend server each record
 * only their own steps.
 */
@Serializable
data class TraceResponse(
    val vm: String,
    val requestId: String,
    val subscriber: String?,
    val service: String?,
    val steps: List<TraceStepStatus>,
)

/** One step of a request. [agoMs] is the age of the step when the response was created. */
@Serializable
data class TraceStepStatus(
    val agoMs: Long,
    val kind: String,
    val target: String?,
    val detail: String,
)

/** The identity of the responding process. */
@Serializable
data class ProcessStatus(val vm: String, val domain: String, val incarnation: Long)
