package dev.hibiscusreach.standins.slopes

/** Which of the repeated runs counts. */
internal enum class Statistic(val label: String, val choose: (List<Double>) -> Double) {
    /** For processor time: other work on the machine only ever adds to it. */
    LOWEST("lowest", { it.min() }),

    /** For times that must stay below a bound. */
    HIGHEST("highest", { it.max() }),

    MEDIAN("median", { it.sorted()[it.size / 2] }),
}

/** What a series measures, and against which variable. */
internal data class Quantity(
    val name: String,
    val unit: String,
    val variable: String,
    val statistic: Statistic = Statistic.MEDIAN,
)

/** The values of all runs by size. */
internal data class Series(val quantity: Quantity, val runs: Map<Double, List<Double>>) {
    /** One value for each size. */
    val points: List<Point> get() = runs.map { (size, values) -> Point(size, quantity.statistic.choose(values)) }

    /** The line through [points]. */
    val fit: LinearFit get() = LeastSquares.fit(points)
}

/** One size of an experiment, measured once. */
internal typealias Sample = Map<Quantity, Double>

/** Repeats [measure] for each size and arranges the values in series. */
internal fun repeated(sizes: List<Int>, repetitions: Int, measure: (size: Int, run: Int) -> Sample): List<Series> {
    val samples =
        sizes.flatMap { size -> List(repetitions) { run -> measure(size, run).map { Triple(it.key, size, it.value) } } }
    return samples
        .flatten()
        .groupBy({ it.first }, { it.second.toDouble() to it.third })
        .map { (quantity, values) -> Series(quantity, values.groupBy({ it.first }, { it.second })) }
}
