package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.metering.LimitBound

/**
 * Holds the limits and identities for the serving decisions of one daemon.
 *
 * The limits depend on the deployment and come from the settings; the defaults suit tests.
 *
 * @property self this incarnation of this daemon.
 * @property repeatRatio retries that the whole fleet may make for each request of a service.
 * @property repeatWindowMillis sliding window in which requests and retries are counted for [repeatRatio].
 * @property repeatSlack retries in each window in addition to [repeatRatio].
 * @property coldFactor factor by which the requests to a cold endpoint in a second may exceed its rate.
 * @property coldSlack requests in addition to [coldFactor].
 * @property leaseMillis minimum time between the last order of one daemon and the first of another to an endpoint.
 * @property limitBound how far the usage of an account over all daemons may exceed its rate and burst.
 * @property baseLoadWindowMillis window in which loads of base models from the weight store are counted.
 * @property baseLoadFactor factor by which the loads in that window may exceed the rate of the weight store.
 * @property seed seed of the choices between services and of the jitter of Retry-After.
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
    public val limitBound: LimitBound = LimitBound(),
    public val baseLoadWindowMillis: Long = 5_000,
    public val baseLoadFactor: Double = 1.1,
    public val seed: Long = 0,
)
