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
 * Joins the platform's configuration objects with what peers spread, and keeps the newest revision in force.
 *
 * @param emit takes the effects.
 * @param installed takes each newer revision.
 */
internal class Configuration(
    private val options: CoreOptions,
    format: StringFormat,
    private val directory: Directory,
    private val emit: (CoreEffect) -> Unit,
    private val installed: (now: Long, snapshot: Snapshot) -> Unit,
) {
    private val store = ConfigStore(format, seed = options.seed)
    private val spread = ConfigGossip(options.self, options.dataCentre, format, seed = options.seed)
    private var nextSeed = 0L

    /** The configuration in force, or null before the first is known. */
    var snapshot: Snapshot? = null
        private set

    fun load(now: Long) = run(now, store.load(now))

    fun submit(now: Long, change: Change) = run(now, store.submit(now, change))

    fun history(now: Long, query: Long, limit: Int) = run(now, store.history(now, query, limit))

    fun read(now: Long, request: Long, outcome: ReadOutcome) = run(now, store.objectRead(now, request, outcome))

    fun written(now: Long, request: Long, outcome: WriteOutcome) = run(now, store.objectWritten(now, request, outcome))

    fun receive(now: Long, from: Member, message: ConfigMessage) = runSpread(now, spread.receive(now, from, message))

    fun peers(peers: Map<DataCentreId, List<Member>>) = spread.setPeers(peers)

    fun tick(now: Long) {
        run(now, store.tick(now))
        runSpread(now, spread.tick(now))
        if (snapshot == null && now - nextSeed >= 0) askSeeds(now)
    }

    /** Returns whether neither the platform nor a peer has confirmed the revision for [seconds]. */
    fun stale(now: Long, seconds: Long): Boolean {
        val confirmed = listOfNotNull(store.confirmedNanos, spread.confirmedNanos).maxOrNull() ?: return true
        return now - confirmed > seconds * SECOND
    }

    // The platform may be out when this process starts; any peer that answers has the configuration.
    private fun askSeeds(now: Long) {
        nextSeed = now + options.seedNanos
        for (seed in options.seeds) emit(CoreEffect.SendConfig(seed, ConfigMessage.Fetch(0)))
    }

    private fun run(now: Long, effects: List<StoreEffect>) {
        for (effect in effects) {
            when (effect) {
                is StoreEffect.ReadObject -> emit(CoreEffect.ReadConfig(effect.request, effect.name))
                is StoreEffect.WriteObject ->
                    emit(CoreEffect.WriteConfig(effect.request, effect.name, effect.value, effect.ifVersion))
                is StoreEffect.Installed -> {
                    runSpread(now, spread.publish(now, effect.tree, effect.records))
                    install(now, effect.tree)
                }
                is StoreEffect.Submitted -> emit(CoreEffect.ChangeSubmitted(effect.id, effect.outcome))
                is StoreEffect.History -> emit(CoreEffect.HistoryRead(effect.query, effect.records))
                is StoreEffect.Unreadable -> emit(CoreEffect.ConfigUnreadable(effect.revision, effect.reason))
            }
        }
    }

    private fun runSpread(now: Long, effects: List<GossipEffect>) {
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Send ->
                    directory.address(effect.to)?.let { emit(CoreEffect.SendConfig(it, effect.message)) }
                is GossipEffect.Installed -> {
                    run(now, store.adopt(now, effect.tree))
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
        installed(now, newer)
    }

    private companion object {
        const val SECOND = 1_000_000_000L
    }
}
