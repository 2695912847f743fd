package io.camphordrum.core.config

internal fun explainPath(tree: Tree, path: String): Explanation {
    val parsed = TreePath.parseInput(path)
    val declaredSettings = ancestors(parsed.branch).reversed().map { branch ->
        branch to tree.entry(TreePath(branch, Section.SETTINGS).toString()) as Settings?
    }
    val effective = tree.settings(parsed.branch)
    val origins = settingSpecs.map { spec ->
        val origin = declaredSettings.firstOrNull { (_, settings) -> settings?.let(spec.declared) != null }?.first
        SettingOrigin(spec.name, spec.effective(effective).toString(), originName(origin))
    }
    return Explanation(parsed.toString(), originName(parsed.branch), tree.entry(parsed.toString()), origins)
}

private fun originName(branch: String?): String = when {
    branch == null -> "default"
    branch.isEmpty() -> "/"
    else -> branch
}
