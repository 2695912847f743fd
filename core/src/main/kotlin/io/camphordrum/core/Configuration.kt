package io.camphordrum.core

import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ConfigGossip
import io.camphordrum.core.config.ConfigMessage
import io.camphordrum.core.config.ConfigStore
import io.camphordrum.core.config.GossipEffect
import io.camphordrum.core.config.ReadOutcome
import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.config.StoreEffect
import io.camphordrum.core.config.Tree
import kotlinx.serialization.StringFormat

/**
 * Merges configuration from the platform's store and from peers, and keeps the newest revision in force.
 *
 * @param emit receives the effects.
 * @param onInstalled receives each newer revision.
 */
internal class Configuration(
    private val options: CoreOptions,
    format: StringFormat,
    private val directory: Directory,
    private val emit: (CoreEffect) -> Unit,
    private val onInstalled: (now: Long, snapshot: Snapshot) -> Unit,
) {
    private val store = ConfigStore(format, seed = options.seed)
    private val spread = ConfigGossip(options.self, options.dataCentre, format, seed = options.seed)
    private var nextSeedRequest = 0L

    /** Configuration in force, or null before the first is known. */
    var snapshot: Snapshot? = null
        private set

    fun load(now: Long) = applyStore(now, store.load(now))

    fun submit(now: Long, change: Change) = applyStore(now, store.submit(now, change))

    fun history(now: Long, query: Long, limit: Int) = applyStore(now, store.history(now, query, limit))

    fun objectRead(now: Long, request: Long, outcome: ReadOutcome) =
        applyStore(now, store.objectRead(now, request, outcome))

    fun objectWritten(now: Long, request: Long, outcome: WriteOutcome) =
        applyStore(now, store.objectWritten(now, request, outcome))

    fun receive(now: Long, from: Member, message: ConfigMessage) = applySpread(now, spread.receive(now, from, message))

    fun updatePeers(peers: Map<DataCentreId, List<Member>>) = spread.setPeers(peers)

    fun tick(now: Long) {
        applyStore(now, store.tick(now))
        applySpread(now, spread.tick(now))
        if (snapshot == null && now - nextSeedRequest >= 0) requestFromSeeds(now)
    }

    /** Returns whether neither the platform nor a peer has confirmed the revision for [seconds]. */
    fun isStale(now: Long, seconds: Long): Boolean {
        val confirmed = listOfNotNull(store.confirmedNanos, spread.confirmedNanos).maxOrNull() ?: return true
        return now - confirmed > seconds * SECOND_NANOS
    }

    // The platform may be unavailable when this process starts; any peer that answers has the configuration.
    private fun requestFromSeeds(now: Long) {
        nextSeedRequest = now + options.seedRequestNanos
        for (seed in options.seeds) emit(CoreEffect.SendConfig(seed, ConfigMessage.Fetch(0)))
    }

    private fun applyStore(now: Long, effects: List<StoreEffect>) {
        for (effect in effects) {
            when (effect) {
                is StoreEffect.ReadObject -> emit(CoreEffect.ReadConfig(effect.request, effect.name))
                is StoreEffect.WriteObject ->
                    emit(CoreEffect.WriteConfig(effect.request, effect.name, effect.value, effect.ifVersion))
                is StoreEffect.Installed -> {
                    applySpread(now, spread.publish(now, effect.tree, effect.records))
                    install(now, effect.tree)
                }
                is StoreEffect.Submitted -> emit(CoreEffect.ChangeSubmitted(effect.id, effect.outcome))
                is StoreEffect.History -> emit(CoreEffect.HistoryRead(effect.query, effect.records))
                is StoreEffect.Unreadable -> emit(CoreEffect.ConfigUnreadable(effect.revision, effect.reason))
            }
        }
    }

    private fun applySpread(now: Long, effects: List<GossipEffect>) {
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Send ->
                    directory.address(effect.to)?.let { emit(CoreEffect.SendConfig(it, effect.message)) }
                is GossipEffect.Installed -> {
                    applyStore(now, store.adopt(now, effect.tree))
                    install(now, effect.tree)
                }
                is GossipEffect.Unreadable -> emit(CoreEffect.ConfigUnreadable(effect.revision, effect.reason))
            }
        }
    }

    private fun install(now: Long, tree: Tree) {
        if (tree.revision <= (snapshot?.revision ?: 0)) return
        val newer = Snapshot(tree)
        snapshot = newer
        emit(CoreEffect.ConfigInForce(newer))
        onInstalled(now, newer)
    }

    private companion object {
        const val SECOND_NANOS = 1_000_000_000L
    }
}
