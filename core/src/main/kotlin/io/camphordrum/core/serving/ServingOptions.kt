package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member

/**
 * Holds the bounds and identities that one daemon's serving decisions use.
 *
 * All bounds are the deployment's own and arrive with the settings; the defaults suit tests.
 *
 * @property self this incarnation of this daemon.
 * @property repeatRatio second sends that the whole fleet may make for each request of a service, in
 *   [repeatWindowMillis].
 * @property repeatSlack second sends on top of [repeatRatio].
 * @property coldFactor how much more than its own rate a cold endpoint may get in a second.
 * @property coldSlack requests on top of that.
 * @property leaseMillis time between the last order of one daemon and the first of another to the same endpoint.
 * @property limitSlackTokens tokens that every account may get over its limit in one window, over all daemons.
 * @property baseLoadWindowMillis window in which loads of base models from the weight store are counted.
 * @property baseLoadFactor how many times the weight store's rate may be used in that window.
 * @property seed seeds the choices between services and the jitter of Retry-After.
 */
public data class ServingOptions(
    public val self: Member,
    public val dataCentre: DataCentreId,
    public val repeatRatio: Double = 0.2,
    public val repeatWindowMillis: Long = 10_000,
    public val repeatSlack: Double = 50.0,
    public val coldFactor: Double = 1.5,
    public val coldSlack: Double = 5.0,
    public val leaseMillis: Long = 3_000,
    public val limitSlackTokens: Double = 0.0,
    public val baseLoadWindowMillis: Long = 5_000,
    public val baseLoadFactor: Double = 1.1,
    public val seed: Long = 0,
)
