package io.camphordrum.core.config

/** Represents a request or a notification for the code that runs a [ConfigStore]. */
public sealed interface StoreEffect {
    /** Requests a read of the object [name]; pass the outcome to [ConfigStore.objectRead] with [request]. */
    public data class ReadObject(public val request: Long, public val name: String) : StoreEffect

    /**
     * Requests a write of [value] to the object [name] if its version is [ifVersion] (0: if it does not exist); pass
     * the outcome to [ConfigStore.objectWritten] with [request].
     */
    public data class WriteObject(
        public val request: Long,
        public val name: String,
        public val value: String,
        public val ifVersion: Long,
    ) : StoreEffect

    /** Reports a newer revision in force; [records] are the changes since the previous one, or empty if unknown. */
    public data class Installed(public val tree: Tree, public val records: List<ChangeRecord>) : StoreEffect

    /** Reports the outcome of the change with [id]. */
    public data class Submitted(public val id: String, public val outcome: SubmitOutcome) : StoreEffect

    /** Answers [ConfigStore.history], the newest change first; null when the history cannot be read. */
    public data class History(public val query: Long, public val records: List<ChangeRecord>?) : StoreEffect

    /** Reports that [revision] is unusable; the last valid one stays in force. */
    public data class Unreadable(public val revision: Long, public val reason: String) : StoreEffect
}
