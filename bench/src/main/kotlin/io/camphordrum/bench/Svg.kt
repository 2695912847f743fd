package io.camphordrum.bench

/** Contains the points of one line of a plot in ascending order of x. */
internal typealias Series = List<Pair<Double, Double>>

/** Renders line plots as SVG. */
object Svg {
    private const val WIDTH = 720
    private const val HEIGHT = 300
    private const val LEFT = 60
    private const val BOTTOM = 260
    private const val TOP = 30
    private const val RIGHT = 600
    private val colours = listOf("#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f")

    /** Returns a plot of [series], by name, with x in seconds and y in [unit]. */
    internal fun linePlot(title: String, unit: String, series: Map<String, Series>): String {
        val points = series.values.flatten()
        val maxX = points.maxOfOrNull { it.first }?.takeIf { it > 0 } ?: 1.0
        val maxY = points.maxOfOrNull { it.second }?.takeIf { it > 0 } ?: 1.0
        return buildString {
            append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$HEIGHT\" ")
            append("font-family=\"sans-serif\" font-size=\"11\">\n")
            append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n")
            appendText(LEFT, 18, "$title ($unit)")
            append("<path d=\"M$LEFT $TOP V$BOTTOM H$RIGHT\" fill=\"none\" stroke=\"black\"/>\n")
            for (step in 0..4) {
                val y = BOTTOM - step * (BOTTOM - TOP) / 4
                val x = LEFT + step * (RIGHT - LEFT) / 4
                appendText(4, y + 4, "%.1f".format(maxY * step / 4))
                appendText(x - 8, BOTTOM + 16, "%.0f s".format(maxX * step / 4))
            }
            for ((i, entry) in series.entries.withIndex()) appendSeries(i, entry.key, entry.value, maxX, maxY)
            append("</svg>\n")
        }
    }

    private fun StringBuilder.appendSeries(i: Int, name: String, points: Series, maxX: Double, maxY: Double) {
        val colour = colours[i % colours.size]
        val path = points.joinToString(" ") { (x, y) ->
            "%.1f,%.1f".format(LEFT + x / maxX * (RIGHT - LEFT), BOTTOM - y / maxY * (BOTTOM - TOP))
        }
        append("<polyline points=\"$path\" fill=\"none\" stroke=\"$colour\" stroke-width=\"1.5\"/>\n")
        appendText(RIGHT + 10, TOP + 16 * i, name, colour)
    }

    private fun StringBuilder.appendText(x: Int, y: Int, text: String, colour: String = "black") {
        append("<text x=\"$x\" y=\"$y\" fill=\"$colour\">$text</text>\n")
    }
}
