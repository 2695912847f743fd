package io.camphordrum.core.serving

import io.camphordrum.core.Member

/** Stores the charges of every daemon and tracks which of them each group of receivers has not received yet. */
internal class ChargeLedger {
    private class DaemonEntry(var member: Member, var sequence: Long, val charged: HashMap<String, Long>)

    /**
     * Tracks the charges sent to one group of receivers.
     *
     * All charges are resent in rotation, because messages may be lost.
     */
    inner class Cursor(private val includes: (daemon: String) -> Boolean) {
        private val changed = LinkedHashMap<String, HashSet<String>>()
        private var digestIndex = 0

        init {
            cursors += this
        }

        fun markChanged(daemon: String, account: String) {
            if (includes(daemon)) changed.getOrPut(daemon) { HashSet() } += account
        }

        /** Returns the changes since the last call, with all charges of one in [DIGESTS_PER_RESEND] daemons. */
        fun next(): List<DaemonCharges> {
            digestIndex = (digestIndex + 1) % DIGESTS_PER_RESEND
            val charges = daemons.entries.filter { includes(it.key) }.mapNotNull { (name, entry) ->
                val accounts = changed[name]
                when {
                    entry.charged.isEmpty() -> null
                    Math.floorMod(name.hashCode(), DIGESTS_PER_RESEND) == digestIndex ->
                        entry.toDaemonCharges(entry.charged)
                    accounts != null -> entry.toDaemonCharges(entry.charged.filterKeys { it in accounts })
                    else -> null
                }
            }
            changed.clear()
            return charges
        }

        fun all(): List<DaemonCharges> =
            daemons.entries.filter {
                includes(it.key) && it.value.charged.isNotEmpty()
            }.map { it.value.toDaemonCharges(it.value.charged) }
    }

    private val daemons = HashMap<String, DaemonEntry>()
    private val cursors = ArrayList<Cursor>()

    fun record(member: Member, sequence: Long, charged: Map<String, Long>) {
        val name = member.instance.name
        val existing = daemons[name]
        if (existing != null && existing.member.incarnation > member.incarnation) return
        val entry = if (existing == null || existing.member.incarnation < member.incarnation) {
            DaemonEntry(member, sequence, HashMap()).also { daemons[name] = it }
        } else {
            existing
        }
        if (entry.sequence > sequence) return
        entry.sequence = sequence
        for ((account, tokens) in charged) {
            if (entry.charged.put(account, tokens) != tokens) cursors.forEach { it.markChanged(name, account) }
        }
    }

    private fun DaemonEntry.toDaemonCharges(accounts: Map<String, Long>) =
        DaemonCharges(member, sequence, HashMap(accounts))

    private companion object {
        // All charges are resent within this many digests.
        const val DIGESTS_PER_RESEND = 12
    }
}
