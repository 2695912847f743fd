package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.WriteOutcome
import io.camphordrum.core.config.ReadOutcome
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.once.ClaimShard
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Executes the core's store effects as calls of the object store and reports the results to the core. */
internal class StoreEffectHandler(private val kernel: Kernel, private val store: ObjectStore) {
    /** Executes [effect]; must be called on the platform thread. */
    fun run(effect: CoreEffect.Store) {
        when (effect) {
            is CoreEffect.ReadMembership -> readMembership(effect.dataCentre.name)
            is CoreEffect.WriteMembership ->
                write(
                    membershipObjectName(effect.dataCentre),
                    effect.expectedVersion,
                    membershipSerializer,
                    effect.record,
                    effect,
                )
            CoreEffect.ReadAllotments -> read(ALLOTMENTS, AllotmentRecord.serializer(), {
            }) { core, now, value, version ->
                core.allotmentsRead(now, value, version)
            }
            is CoreEffect.WriteAllotments ->
                write(ALLOTMENTS, effect.expectedVersion, AllotmentRecord.serializer(), effect.record, effect)
            is CoreEffect.ReadClaims -> {
                val onFailure = { execute { core, now -> core.claimsReadFailed(now, effect.id) } }
                read(effect.id.objectName, ClaimShard.serializer(), onFailure) { core, now, value, version ->
                    core.claimsRead(now, effect.id, value, version)
                }
            }
            is CoreEffect.WriteClaims ->
                write(effect.id.objectName, effect.expectedVersion, ClaimShard.serializer(), effect.value, effect)
            is CoreEffect.ReadConfig -> readConfig(effect)
            is CoreEffect.WriteConfig ->
                store.write(effect.name, effect.value.toByteArray(), effect.ifVersion) { onWritten(effect, it) }
        }
    }

    /** Reports to the core that [effect] was not executed because the platform thread's ring buffer is full. */
    fun reject(effect: CoreEffect.Store) {
        val result = WriteResult.Unavailable("the platform ring is full")
        kernel.tryExecute { core, now ->
            when (effect) {
                is CoreEffect.ReadMembership -> core.membershipReadFailed(now)
                is CoreEffect.ReadClaims -> core.claimsReadFailed(now, effect.id)
                is CoreEffect.ReadConfig -> core.configRead(now, effect.request, ReadOutcome.Unavailable)
                CoreEffect.ReadAllotments -> emptyList()
                else -> reportWrite(core, now, effect, result)
            }
        }
    }

    /** Reads the membership record of the data centre [name]. */
    fun readMembership(name: String) {
        val sentNanos = kernel.clock.nanos()
        val dataCentre = DataCentreId(name)
        val onFailure = {
            if (dataCentre == kernel.dataCentre) execute { core, now -> core.membershipReadFailed(now) }
        }
        read(membershipObjectName(dataCentre), membershipSerializer, onFailure) { core, now, value, version ->
            core.membershipRead(now, sentNanos, dataCentre, value, version)
        }
    }

    private fun <T> read(
        name: String,
        serializer: KSerializer<T>,
        onFailure: () -> Unit,
        onValue: (DecisionCore, Long, T?, Long) -> List<CoreEffect>,
    ) {
        store.read(name) { result ->
            when (result) {
                is ReadResult.Found -> {
                    val value = decode(name, serializer, result.value)
                    if (value ==
                        null
                    ) {
                        onFailure()
                    } else {
                        execute { core, now -> onValue(core, now, value, result.version) }
                    }
                }
                ReadResult.Missing -> execute { core, now -> onValue(core, now, null, 0) }
                is ReadResult.Unavailable -> onFailure()
            }
        }
    }

    private fun <T> decode(name: String, serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        json.decodeFromString(serializer, bytes.decodeToString())
    } catch (e: SerializationException) {
        log.error { "object_unreadable name=$name reason=${e.message}" }
        null
    }

    private fun <T> write(name: String, version: Long, serializer: KSerializer<T>, value: T, effect: CoreEffect.Store) {
        val bytes = json.encodeToString(serializer, value).toByteArray()
        store.write(name, bytes, version) { onWritten(effect, it) }
    }

    private fun onWritten(effect: CoreEffect.Store, result: WriteResult) {
        if (result is WriteResult.Unknown) log.warn { "write_outcome_unknown reason=${result.reason}" }
        execute { core, now -> reportWrite(core, now, effect, result) }
    }

    private fun reportWrite(
        core: DecisionCore,
        now: Long,
        effect: CoreEffect.Store,
        result: WriteResult,
    ): List<CoreEffect> =
        when (effect) {
            is CoreEffect.WriteMembership -> core.membershipWritten(now, writeOutcome(result))
            is CoreEffect.WriteAllotments -> core.allotmentsWritten(now, writeOutcome(result))
            is CoreEffect.WriteClaims -> core.claimsWritten(now, effect.id, writeOutcome(result))
            is CoreEffect.WriteConfig -> core.configWritten(now, effect.request, writeOutcome(result))
            else -> emptyList()
        }

    private fun readConfig(effect: CoreEffect.ReadConfig) {
        store.read(effect.name) { result ->
            val read = when (result) {
                is ReadResult.Found -> ReadOutcome.Found(result.value.decodeToString(), result.version)
                ReadResult.Missing -> ReadOutcome.Missing
                is ReadResult.Unavailable -> ReadOutcome.Unavailable
            }
            execute { core, now -> core.configRead(now, effect.request, read) }
        }
    }

    private fun execute(step: (DecisionCore, Long) -> List<CoreEffect>) = kernel.execute(step)

    private fun writeOutcome(result: WriteResult): WriteOutcome = when (result) {
        is WriteResult.Applied -> WriteOutcome.Applied(result.version)
        WriteResult.Conflict -> WriteOutcome.Conflict
        is WriteResult.Unknown -> WriteOutcome.Unknown
        is WriteResult.Unavailable -> WriteOutcome.Unavailable
    }

    private companion object {
        const val ALLOTMENTS = "allotments"
        val json = Json { ignoreUnknownKeys = true }
    }
}
