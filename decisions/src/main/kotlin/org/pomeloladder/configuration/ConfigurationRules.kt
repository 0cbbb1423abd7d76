/*
 * Validation rules for a whole document. All violations are reported together and in a fixed order,
 * so that every process rejects a patch with the same messages.
 */
package org.pomeloladder.configuration

private const val MAX_GROUP_WEIGHT = 1_000
private const val MAX_DEADLINE_MS = 600_000L
private val KEY_HASH = Regex("[0-9a-f]{64}")

/** Returns all violations of the validation rules; empty if the document is valid. */
fun Configuration.problems(): List<ConfigProblem> =
    regionProblems() + groupProblems() + serviceProblems() + subscriberProblems()

private fun Configuration.regionProblems(): List<ConfigProblem> {
    val seen = HashMap<FailureDomainId, RegionId>()
    return regions.entries.flatMap { (id, region) ->
        region.domains.mapNotNull { domain ->
            seen.put(domain, id)?.let { other ->
                ConfigProblem(
                    "regions.$id.domains",
                    "a domain of one region",
                    "$domain, also in $other",
                )
            }
        }
    }
}

private fun Configuration.groupProblems(): List<ConfigProblem> = groups.flatMap { (id, group) ->
    buildList {
        val path = "groups.$id"
        group.services.filter { it !in services }.forEach {
            add(ConfigProblem("$path.services", "a configured service", it.value))
        }
        group.regions.filter { it !in regions }.forEach {
            add(ConfigProblem("$path.regions", "a configured region", it.value))
        }
        if (group.regions.isEmpty()) {
            add(ConfigProblem("$path.regions", "at least one region", "none"))
        }
        if (group.weight !in 1..MAX_GROUP_WEIGHT) {
            add(ConfigProblem("$path.weight", "1 to $MAX_GROUP_WEIGHT", group.weight.toString()))
        }
        if (group.deadlineMs !in 1..MAX_DEADLINE_MS) {
            add(
                ConfigProblem(
                    "$path.deadlineMs",
                    "1 to $MAX_DEADLINE_MS ms",
                    group.deadlineMs.toString(),
                ),
            )
        }
    }
}

private fun Configuration.serviceProblems(): List<ConfigProblem> =
    services.mapNotNull { (id, service) ->
        val model = service as? Service.LanguageModel
        if (model == null || model.replicasPerDomain >= 0) return@mapNotNull null
        ConfigProblem("services.$id.replicasPerDomain", "0 or more", "${model.replicasPerDomain}")
    }

private fun Configuration.subscriberProblems(): List<ConfigProblem> {
    val owners = HashMap<ApiKeyHash, SubscriberId>()
    return subscribers.flatMap { (id, subscriber) ->
        buildList {
            val path = "subscribers.$id"
            val group = groups[subscriber.group]
            if (group == null) {
                add(ConfigProblem("$path.group", "a configured group", subscriber.group.value))
            }
            val home = subscriber.homeRegion
            if (home != null && group != null && home !in group.regions) {
                add(ConfigProblem("$path.homeRegion", "a region of the group", home.value))
            }
            subscriber.keyHashes.forEach { hash ->
                if (!KEY_HASH.matches(hash.value)) {
                    add(ConfigProblem("$path.keyHashes", "64 hexadecimal digits", hash.value))
                }
                owners.put(hash, id)?.let { other ->
                    add(
                        ConfigProblem(
                            "$path.keyHashes",
                            "a key of one subscriber",
                            "also of $other",
                        ),
                    )
                }
            }
        }
    }
}
