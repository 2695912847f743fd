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

private const val LENGTH_PREFIX_BYTES = 4
private val listSizes = listOf(1, 5, 30, 65)

/** Measures the size of each kind of message as `wire` encodes it, by the number of entries in its lists, if any. */
internal fun messageSlope(): List<CapacityPoint> = listSizes.map { size ->
    CapacityPoint("messages", size, messages(size).mapValues { encodedBytes(it.value) })
}

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Measures the CPU time to encode and to decode single messages after a warm-up. */
@OptIn(ExperimentalSerializationApi::class)
internal fun codecSlope(): List<CapacityPoint> = listSizes.map { size ->
    val measuredMessages = messages(size)
        .filterKeys { it in setOf("heartbeat", "ticket request", "grant", "finish", "changes") }
    val values = measuredMessages.flatMap { (name, message) ->
        val bytes = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        val encodeMicros = meanMicros { cbor.encodeToByteArray(PeerMessage.serializer(), message) }
        val decodeMicros = meanMicros { cbor.decodeFromByteArray(PeerMessage.serializer(), bytes) }
        listOf("$name encode us" to encodeMicros, "$name decode us" to decodeMicros)
    }
    CapacityPoint("codec", size, values.toMap())
}

private fun meanMicros(block: () -> Any): Double {
    repeat(2_000) { block() }
    val meter = CapacityMeter()
    repeat(20) { meter.measure { repeat(100) { block() } } }
    return meter.meanMicros / 100
}

/** Returns the bytes of [message] on the wire with its length prefix, without TCP and IP headers. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodedBytes(
    message: PeerMessage,
): Double = (cbor.encodeToByteArray(PeerMessage.serializer(), message).size + LENGTH_PREFIX_BYTES).toDouble()

private fun messages(size: Int): Map<String, PeerMessage> {
    val amounts = List(size) { ShareAmount(AccountId("account-$it"), 2_564, 123_456_789_012) }
    val versions = List(size) { AdapterVersion("adapter-$it", 2) }
    val adopted = listOf(-1L, 1L)
    val endpoint = EndpointId("engine-1234")
    val edit = Edit.Put("work/adapters/adapter-5", Adapter(BaseModelId("base-0"), 2, listOf(1, 2)))
    val change = Change("6f1c2a9b0d3e4f5a", 25_000, "operator", 1_764_806_400_000, "new version", List(size) { edit })
    val request = TicketMessage.Request(
        123_456,
        endpoint,
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
        "finish" to PeerMessage.Ticket(
            TicketMessage.Finish(endpoint, 30_064_771_072, TicketOutcome.COMPLETED, 282, 200),
        ),
        "digest" to PeerMessage.Residency(
            ResidencyMessage.Digest(endpoint, 7, 86_400, false, versions, emptyList(), 20),
        ),
        "empty digest" to PeerMessage.Residency(ResidencyMessage.Digest(endpoint, 7, 86_400, waitMillis = 20)),
        "notice" to PeerMessage.Config(ConfigMessage.Notice(25_000)),
        "changes" to PeerMessage.Config(ConfigMessage.Changes(25_001, listOf(ChangeRecord(25_001, change)))),
    )
}
