package io.camphordrum.core

import kotlinx.serialization.Serializable

/** Names one running daemon process slot, as given by its settings. */
@Serializable
@JvmInline
public value class InstanceId(public val name: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Names a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val name: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Names a client account. */
@Serializable
@JvmInline
public value class AccountId(public val name: String) : Comparable<AccountId> {
    override fun compareTo(other: AccountId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Names an endpoint: one engine replica or one plain service replica. */
@Serializable
@JvmInline
public value class EndpointId(public val name: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Names a base model that adapters extend. */
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
 * @property incarnation a number that grows with every start of the process: milliseconds since the Unix epoch.
 */
@Serializable
public data class Member(public val instance: InstanceId, public val incarnation: Long) : Comparable<Member> {
    override fun compareTo(other: Member): Int = compareValuesBy(this, other, { it.instance }, { it.incarnation })

    override fun toString(): String = "${instance.name}#$incarnation"
}
