package io.camphordrum.core.config

/** Tells how applying a change to a tree ended. */
public sealed interface ApplyResult {
    /** The change is valid; [tree] has the next revision. */
    public data class Applied(public val tree: Tree) : ApplyResult

    /** The change was made against [base], but the tree has [revision]. */
    public data class Stale(public val base: Long, public val revision: Long) : ApplyResult

    /** The change or the tree it would make is not valid; [errors] is not empty. */
    public data class Invalid(public val errors: List<TreeError>) : ApplyResult
}
