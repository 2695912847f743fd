package io.camphordrum.core.serving

/**
 * Holds one version of the routes, services and accounts that are served.
 *
 * ```kotlin
 * val route = config.route("reports.example", "/drafts/7") ?: return notFound()
 * ```
 */
public class ServingConfig(
    public val version: Long,
    routes: List<ServingRoute>,
    services: List<ServedService>,
    accounts: List<ServedAccount>,
    public val limits: CallerLimits,
) {
    // Sorted by descending prefix length, so that the first match is the longest.
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }
    private val accountsByKey = accounts.flatMap { account -> account.keys.map { it to account } }.toMap()

    /** Services by name. */
    public val services: Map<String, ServedService> = services.associateBy { it.name }

    /** All accounts; if empty, no route needs a key. */
    public val accounts: List<ServedAccount> = accounts

    // Shortest pause between events that a route requires, by service.
    private val pauses: Map<String, Long> = routes
        .flatMap { route -> route.services.mapNotNull { target -> route.pauseMillis?.let { target.service to it } } }
        .groupBy({ it.first }, { it.second })
        .mapValues { it.value.min() }

    /** Returns the shortest pause between events that a route requires of the streams of [service], or null. */
    public fun pauseMillis(service: String): Long? = pauses[service]

    // Shortest target of a route that sends requests to a service, by service.
    private val targets: Map<String, Long> = routes
        .flatMap { route -> route.services.map { it.service to route.targetMillis } }
        .groupBy({ it.first }, { it.second })
        .mapValues { it.value.min() }

    /** Returns the shortest target for the first part of an answer among the routes of [service], or null. */
    public fun targetMillis(service: String): Long? = targets[service]

    /** Returns the route of [host] with the longest prefix that [path] starts with, or null. */
    public fun route(host: String, path: String): ServingRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the account that [key] belongs to, or null. */
    public fun account(key: String): ServedAccount? = accountsByKey[key]
}
