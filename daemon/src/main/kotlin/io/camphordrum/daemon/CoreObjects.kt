package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.WriteOutcome
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.once.ClaimShard
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import io.camphordrum.core.config.ReadOutcome as ConfigRead

private val log = KotlinLogging.logger {}

/** Translates the core's store effects into calls of the object store, and their outcomes back. */
internal class CoreObjects(private val kernel: Kernel, private val store: ObjectStore) {
    /** Carries out [effect] on the platform thread. */
    fun run(effect: CoreEffect.Store) {
        when (effect) {
            is CoreEffect.ReadMembership -> readMembership(effect.dataCentre.name)
            is CoreEffect.WriteMembership ->
                write(membershipName(effect.dataCentre), effect.expectedVersion, membershipForm, effect.record, effect)
            CoreEffect.ReadAllotments -> read(ALLOTMENTS, AllotmentRecord.serializer(), {
            }) { core, now, value, version ->
                core.allotmentsRead(now, value, version)
            }
            is CoreEffect.WriteAllotments ->
                write(ALLOTMENTS, effect.expectedVersion, AllotmentRecord.serializer(), effect.record, effect)
            is CoreEffect.ReadClaims -> {
                val failed = { surely { core, now -> core.claimsReadFailed(now, effect.id) } }
                read(effect.id.objectName, ClaimShard.serializer(), failed) { core, now, value, version ->
                    core.claimsRead(now, effect.id, value, version)
                }
            }
            is CoreEffect.WriteClaims ->
                write(effect.id.objectName, effect.expectedVersion, ClaimShard.serializer(), effect.value, effect)
            is CoreEffect.ReadConfig -> readConfig(effect)
            is CoreEffect.WriteConfig ->
                store.write(effect.name, effect.value.toByteArray(), effect.ifVersion) { written(effect, it) }
        }
    }

    /** Reports that [effect] was not carried out because the ring to the platform thread is full. */
    fun refuse(effect: CoreEffect.Store) {
        val end = WriteEnd.Unavailable("the platform ring is full")
        kernel.decide { core, now ->
            when (effect) {
                is CoreEffect.ReadMembership -> core.membershipReadFailed(now)
                is CoreEffect.ReadClaims -> core.claimsReadFailed(now, effect.id)
                is CoreEffect.ReadConfig -> core.configRead(now, effect.request, ConfigRead.Unavailable)
                CoreEffect.ReadAllotments -> emptyList()
                else -> report(core, now, effect, end)
            }
        }
    }

    /** Reads the membership record of the data centre [name]. */
    fun readMembership(name: String) {
        val sent = kernel.clock.nanos()
        val dataCentre = DataCentreId(name)
        val failed = {
            if (dataCentre == kernel.dataCentre) surely { core, now -> core.membershipReadFailed(now) }
        }
        read(membershipName(dataCentre), membershipForm, failed) { core, now, value, version ->
            core.membershipRead(now, sent, dataCentre, value, version)
        }
    }

    private fun <T> read(
        name: String,
        form: KSerializer<T>,
        failed: () -> Unit,
        found: (DecisionCore, Long, T?, Long) -> List<CoreEffect>,
    ) {
        store.read(name) { outcome ->
            when (outcome) {
                is ReadOutcome.Found -> {
                    val value = decode(name, form, outcome.value)
                    if (value == null) failed() else surely { core, now -> found(core, now, value, outcome.version) }
                }
                ReadOutcome.Missing -> surely { core, now -> found(core, now, null, 0) }
                is ReadOutcome.Unavailable -> failed()
            }
        }
    }

    private fun <T> decode(name: String, form: KSerializer<T>, bytes: ByteArray): T? = try {
        json.decodeFromString(form, bytes.decodeToString())
    } catch (e: SerializationException) {
        log.error { "object_unreadable name=$name reason=${e.message}" }
        null
    }

    private fun <T> write(name: String, version: Long, form: KSerializer<T>, value: T, effect: CoreEffect.Store) {
        val bytes = json.encodeToString(form, value).toByteArray()
        store.write(name, bytes, version) { written(effect, it) }
    }

    private fun written(effect: CoreEffect.Store, end: WriteEnd) {
        if (end is WriteEnd.Unknown) log.warn { "write_outcome_unknown reason=${end.reason}" }
        surely { core, now -> report(core, now, effect, end) }
    }

    private fun report(core: DecisionCore, now: Long, effect: CoreEffect.Store, end: WriteEnd): List<CoreEffect> =
        when (effect) {
            is CoreEffect.WriteMembership -> core.membershipWritten(now, outcome(end))
            is CoreEffect.WriteAllotments -> core.allotmentsWritten(now, outcome(end))
            is CoreEffect.WriteClaims -> core.claimsWritten(now, effect.id, outcome(end))
            is CoreEffect.WriteConfig -> core.configWritten(now, effect.request, outcome(end))
            else -> emptyList()
        }

    private fun readConfig(effect: CoreEffect.ReadConfig) {
        store.read(effect.name) { outcome ->
            val read = when (outcome) {
                is ReadOutcome.Found -> ConfigRead.Found(outcome.value.decodeToString(), outcome.version)
                ReadOutcome.Missing -> ConfigRead.Missing
                is ReadOutcome.Unavailable -> ConfigRead.Unavailable
            }
            surely { core, now -> core.configRead(now, effect.request, read) }
        }
    }

    private fun surely(step: (DecisionCore, Long) -> List<CoreEffect>) = kernel.decideSurely(step)

    private fun outcome(end: WriteEnd): WriteOutcome = when (end) {
        is WriteEnd.Applied -> WriteOutcome.Applied(end.version)
        WriteEnd.Conflict -> WriteOutcome.Conflict
        is WriteEnd.Unknown -> WriteOutcome.Unknown
        is WriteEnd.Unavailable -> WriteOutcome.Unavailable
    }

    private companion object {
        const val ALLOTMENTS = "allotments"
        val json = Json { ignoreUnknownKeys = true }
    }
}
