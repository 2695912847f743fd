package io.camphordrum.core.config

/** Asks the owner of a [ConfigStore] for something, or tells it something. */
public sealed interface StoreEffect {
    /** Read the object [name] and pass the outcome to [ConfigStore.objectRead] with [request]. */
    public data class ReadObject(public val request: Long, public val name: String) : StoreEffect

    /**
     * Write [value] to the object [name] if its version is [ifVersion] (0: if it does not exist) and pass the outcome
     * to [ConfigStore.objectWritten] with [request].
     */
    public data class WriteObject(
        public val request: Long,
        public val name: String,
        public val value: String,
        public val ifVersion: Long,
    ) : StoreEffect

    /** A newer revision is in force; [records] lead from the previous one to it, or are empty when not known. */
    public data class Installed(public val tree: Tree, public val records: List<ChangeRecord>) : StoreEffect

    /** The change with [id] has its outcome. */
    public data class Submitted(public val id: String, public val outcome: SubmitOutcome) : StoreEffect

    /** The answer to [ConfigStore.history]: the newest change first; null when the platform cannot be reached. */
    public data class History(public val query: Long, public val records: List<ChangeRecord>?) : StoreEffect

    /** Revision [revision] cannot be used; the last good one stays in force. */
    public data class Unreadable(public val revision: Long, public val reason: String) : StoreEffect
}
