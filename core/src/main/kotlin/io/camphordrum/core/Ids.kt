package io.camphordrum.core

import kotlinx.serialization.Serializable

/** Identifies a daemon instance by the name in its settings, which stays the same over restarts. */
@Serializable
@JvmInline
public value class InstanceId(public val name: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val name: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies a client account. */
@Serializable
@JvmInline
public value class AccountId(public val name: String) : Comparable<AccountId> {
    override fun compareTo(other: AccountId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies an endpoint, which is one engine replica or one plain service replica. */
@Serializable
@JvmInline
public value class EndpointId(public val name: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies a base model that adapters extend. */
@Serializable
@JvmInline
public value class BaseModelId(public val name: String) {
    override fun toString(): String = name
}

/**
 * Identifies one incarnation of an instance.
 *
 * ```kotlin
 * Member(InstanceId("edge-1"), incarnation = 1_764_806_400_000)
 * ```
 *
 * @property incarnation start time of the process in milliseconds since the Unix epoch; increases with every start.
 */
@Serializable
public data class Member(public val instance: InstanceId, public val incarnation: Long) : Comparable<Member> {
    override fun compareTo(other: Member): Int = compareValuesBy(this, other, { it.instance }, { it.incarnation })

    override fun toString(): String = "${instance.name}#$incarnation"
}
