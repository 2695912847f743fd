package io.camphordrum.bench

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.ConfigMessage
import io.camphordrum.core.config.Edit
import io.camphordrum.core.limits.ShareAmount
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.membership.Acknowledgement
import io.camphordrum.core.membership.GenerationNotice
import io.camphordrum.core.membership.Heartbeat
import io.camphordrum.core.membership.MembershipRecord
import io.camphordrum.core.residency.ResidencyMessage
import io.camphordrum.core.residency.TicketMessage
import io.camphordrum.core.residency.TicketOutcome
import io.camphordrum.wire.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

private const val HEADER = 4
private val sizes = listOf(1, 5, 30, 65)

/** Encodes every kind of message as `wire` does; the size is the number of list entries where there is a list. */
internal fun messageSlope(): List<CapacityPoint> = sizes.map { size ->
    CapacityPoint("messages", size, messages(size).mapValues { encoded(it.value) })
}

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Measures encoding and decoding of single messages after warm-up. */
@OptIn(ExperimentalSerializationApi::class)
internal fun codecSlope(): List<CapacityPoint> = sizes.map { size ->
    val kinds = messages(size).filterKeys { it in setOf("heartbeat", "ticket request", "grant", "finish", "changes") }
    val values = kinds.flatMap { (name, message) ->
        val bytes = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        val encode = meanMicros { cbor.encodeToByteArray(PeerMessage.serializer(), message) }
        val decode = meanMicros { cbor.decodeFromByteArray(PeerMessage.serializer(), bytes) }
        listOf("$name encode us" to encode, "$name decode us" to decode)
    }
    CapacityPoint("codec", size, values.toMap())
}

private fun meanMicros(block: () -> Any): Double {
    repeat(2_000) { block() }
    val meter = CapacityMeter()
    repeat(20) { meter.measure { repeat(100) { block() } } }
    return meter.meanMicros / 100
}

/** Returns the bytes of [message] on the wire with its length, without TCP and IP headers. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encoded(
    message: PeerMessage,
): Double = (cbor.encodeToByteArray(PeerMessage.serializer(), message).size + HEADER).toDouble()

private fun messages(size: Int): Map<String, PeerMessage> {
    val amounts = List(size) { ShareAmount(AccountId("account-$it"), 2_564, 123_456_789_012) }
    val versions = List(size) { AdapterVersion("adapter-$it", 2) }
    val adopted = listOf(-1L, 1L)
    val id = EndpointId("engine-1234")
    val put = Edit.Put("work/adapters/adapter-5", Adapter(BaseModelId("base-0"), 2, listOf(1, 2)))
    val change = Change("6f1c2a9b0d3e4f5a", 25_000, "operator", 1_764_806_400_000, "new version", List(size) { put })
    val request = TicketMessage.Request(
        123_456,
        id,
        AdapterVersion("adapter-5", 2),
        AccountId("account-0"),
        282,
        0,
        30_000,
        500,
    )
    return mapOf(
        "heartbeat" to PeerMessage.Membership(Heartbeat(7, 86_400, 25_000, adopted)),
        "acknowledgement" to PeerMessage.Membership(Acknowledgement(7, 86_400, true, 25_000, adopted)),
        "generation" to PeerMessage.Membership(
            GenerationNotice(MembershipRecord(CapacityCore.capacityGeneration(maxOf(2, size))), 7),
        ),
        "ask" to PeerMessage.Share(ShareMessage.SurplusRequest(7, amounts)),
        "transfer" to PeerMessage.Share(ShareMessage.Transfer(7, 1_234, amounts)),
        "receipt" to PeerMessage.Share(ShareMessage.Receipt(7, 1_234)),
        "demand" to PeerMessage.Share(ShareMessage.Demand(7, amounts.associate { it.account to it.parts })),
        "ticket request" to PeerMessage.Ticket(request),
        "grant" to PeerMessage.Ticket(TicketMessage.Grant(123_456, 30_064_771_072, 7, 60_000, 20)),
        "finish" to PeerMessage.Ticket(TicketMessage.Finish(id, 30_064_771_072, TicketOutcome.COMPLETED, 282, 200)),
        "digest" to PeerMessage.Residency(ResidencyMessage.Digest(id, 7, 86_400, false, versions, emptyList(), 20)),
        "empty digest" to PeerMessage.Residency(ResidencyMessage.Digest(id, 7, 86_400, waitMillis = 20)),
        "notice" to PeerMessage.Config(ConfigMessage.Notice(25_000)),
        "changes" to PeerMessage.Config(ConfigMessage.Changes(25_001, listOf(ChangeRecord(25_001, change)))),
    )
}
