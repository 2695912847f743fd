package io.camphordrum.core.config

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Connects daemons of two data centres by a network that loses, duplicates, delays and reorders messages. */
@OptIn(ExperimentalSerializationApi::class)
internal class GossipNetwork(
    private val random: Random,
    perDataCentre: Int = 4,
    options: GossipOptions = GossipOptions(),
) {
    class Message(val from: Member, val to: Member, val bytes: ByteArray)

    val centres = listOf("a", "b").associate { centre ->
        DataCentreId(centre) to List(perDataCentre) { Member(InstanceId("$centre$it"), 1) }
    }
    val gossips = centres.flatMap { (centre, members) ->
        members.map { it to ConfigGossip(it, centre, Json, options, random.nextLong()).apply { setPeers(centres) } }
    }.toMap()
    val installedRevisions = gossips.keys.associateWith { mutableListOf<Long>() }
    private val highestRevisions = HashMap<Member, Long>()
    val reversions = ArrayList<String>()
    val unreadable = ArrayList<GossipEffect.Unreadable>()
    val inFlight = ArrayList<Message>()
    var shouldDrop: (Message) -> Boolean = { false }
    var largestBytes = 0
    var sent = 0
    var now = 0L

    fun handle(from: Member, effects: List<GossipEffect>) {
        val revision = gossips.getValue(from).tree.revision
        val before = highestRevisions.put(from, revision) ?: 0
        if (revision < before) reversions += "$from from $before to $revision"
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Send -> {
                    val bytes = Cbor.encodeToByteArray(ConfigMessage.serializer(), effect.message)
                    largestBytes = maxOf(largestBytes, bytes.size)
                    sent++
                    inFlight += Message(from, effect.to, bytes)
                }
                is GossipEffect.Installed -> installedRevisions.getValue(from) += effect.tree.revision
                is GossipEffect.Unreadable -> unreadable += effect
            }
        }
    }

    fun publish(at: Member, tree: Tree, records: List<ChangeRecord>) {
        val gossip = gossips.getValue(at)
        if (tree.revision > gossip.tree.revision) installedRevisions.getValue(at) += tree.revision
        handle(at, gossip.publish(now, tree, records))
    }

    fun deliver(index: Int, duplicate: Boolean = false) {
        val message = if (duplicate) inFlight[index] else inFlight.removeAt(index)
        if (shouldDrop(message)) return
        val decoded = Cbor.decodeFromByteArray(ConfigMessage.serializer(), message.bytes)
        handle(message.to, gossips.getValue(message.to).receive(now, message.from, decoded))
    }

    /** Advances time by [ticks] ticks of 100 ms each and delivers all messages in order. */
    fun deliverAll(ticks: Int) {
        repeat(ticks) {
            now += 100_000_000
            for ((member, gossip) in gossips) handle(member, gossip.tick(now))
            while (inFlight.isNotEmpty()) deliver(0)
        }
    }

    /** Loses, duplicates or delivers one randomly chosen message; the others are delayed. */
    fun disturbOneMessage() {
        now += random.nextLong(20_000_000)
        val (member, gossip) = gossips.entries.random(random)
        if (random.nextInt(4) == 0) handle(member, gossip.tick(now))
        if (inFlight.isEmpty()) return
        val index = random.nextInt(inFlight.size)
        when (random.nextInt(5)) {
            0 -> inFlight.removeAt(index)
            1 -> deliver(index, duplicate = true)
            else -> deliver(index)
        }
    }
}
