package io.camphordrum.core.config

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Joins daemons of two data centres by a network that loses, doubles, delays and reorders messages. */
@OptIn(ExperimentalSerializationApi::class)
internal class SpreadNetwork(
    private val random: Random,
    perDataCentre: Int = 4,
    options: SpreadOptions = SpreadOptions(),
) {
    class Message(val from: Member, val to: Member, val bytes: ByteArray)

    val centres = listOf("a", "b").associate { centre ->
        DataCentreId(centre) to List(perDataCentre) { Member(InstanceId("$centre$it"), 1) }
    }
    val spreads = centres.flatMap { (centre, members) ->
        members.map { it to ConfigSpread(it, centre, Json, options, random.nextLong()).apply { peers(centres) } }
    }.toMap()
    val installed = spreads.keys.associateWith { mutableListOf<Long>() }
    private val highest = HashMap<Member, Long>()
    val reverted = ArrayList<String>()
    val faults = ArrayList<SpreadEffect.Unreadable>()
    val flying = ArrayList<Message>()
    var cut: (Message) -> Boolean = { false }
    var largest = 0
    var sent = 0
    var now = 0L

    fun take(from: Member, effects: List<SpreadEffect>) {
        val revision = spreads.getValue(from).tree.revision
        val before = highest.put(from, revision) ?: 0
        if (revision < before) reverted += "$from from $before to $revision"
        for (effect in effects) {
            when (effect) {
                is SpreadEffect.Send -> {
                    val bytes = Cbor.encodeToByteArray(ConfigMessage.serializer(), effect.message)
                    largest = maxOf(largest, bytes.size)
                    sent++
                    flying += Message(from, effect.to, bytes)
                }
                is SpreadEffect.Installed -> installed.getValue(from) += effect.tree.revision
                is SpreadEffect.Unreadable -> faults += effect
            }
        }
    }

    fun install(at: Member, tree: Tree, records: List<ChangeRecord>) {
        val spread = spreads.getValue(at)
        if (tree.revision > spread.tree.revision) installed.getValue(at) += tree.revision
        take(at, spread.installed(now, tree, records))
    }

    fun deliver(index: Int, keep: Boolean = false) {
        val message = if (keep) flying[index] else flying.removeAt(index)
        if (cut(message)) return
        val decoded = Cbor.decodeFromByteArray(ConfigMessage.serializer(), message.bytes)
        take(message.to, spreads.getValue(message.to).receive(now, message.from, decoded))
    }

    /** Moves time by [ticks] periods of 100 ms and delivers everything in order. */
    fun calm(ticks: Int) {
        repeat(ticks) {
            now += 100_000_000
            for ((member, spread) in spreads) take(member, spread.tick(now))
            while (flying.isNotEmpty()) deliver(0)
        }
    }

    /** Loses, doubles, delays or delivers one message. */
    fun disturb() {
        now += random.nextLong(20_000_000)
        val (member, spread) = spreads.entries.random(random)
        if (random.nextInt(4) == 0) take(member, spread.tick(now))
        if (flying.isEmpty()) return
        val index = random.nextInt(flying.size)
        when (random.nextInt(5)) {
            0 -> flying.removeAt(index)
            1 -> deliver(index, keep = true)
            else -> deliver(index)
        }
    }
}
