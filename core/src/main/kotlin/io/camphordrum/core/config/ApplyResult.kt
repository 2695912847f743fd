package io.camphordrum.core.config

/** Represents the result of applying a change to a tree. */
public sealed interface ApplyResult {
    /** The change is valid; [tree] has the next revision. */
    public data class Applied(public val tree: Tree) : ApplyResult

    /** The change is based on revision [base], but the tree has [revision]. */
    public data class Stale(public val base: Long, public val revision: Long) : ApplyResult

    /** The change or the resulting tree is not valid; [errors] is not empty. */
    public data class Invalid(public val errors: List<TreeError>) : ApplyResult
}
