package io.camphordrum.core.config

internal fun explainPath(tree: Tree, path: String): Explanation {
    val place = TreePath.ofInput(path)
    val own = ancestors(place.branch).reversed().map { branch ->
        branch to tree.entry(TreePath(branch, Section.SETTINGS).toString()) as Settings?
    }
    val effective = tree.settings(place.branch)
    val origins = settingSpecs.map { spec ->
        val from = own.firstOrNull { (_, settings) -> settings?.let(spec.own) != null }?.first
        SettingOrigin(spec.name, spec.effective(effective).toString(), originName(from))
    }
    return Explanation(place.toString(), originName(place.branch), tree.entry(place.toString()), origins)
}

private fun originName(branch: String?): String = when {
    branch == null -> "default"
    branch.isEmpty() -> "/"
    else -> branch
}
