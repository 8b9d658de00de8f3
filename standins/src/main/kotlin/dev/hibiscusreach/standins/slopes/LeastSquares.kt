package dev.hibiscusreach.standins.slopes

import kotlin.math.sqrt

/** One measured value at one size. */
internal data class Point(val size: Double, val value: Double)

/** The line `intercept + slope * size` through measured points, and how far the points lie from it. */
internal data class LinearFit(val intercept: Double, val slope: Double, val residual: Double) {
    /** The value of the line at [size]. */
    fun at(size: Double): Double = intercept + slope * size
}

/** Ordinary least squares. */
internal object LeastSquares {
    /** Fewer sizes cannot show whether a line fits. */
    const val MINIMUM_POINTS = 3

    /** The fitted line; its residual is the root of the mean squared distance of the points from it. */
    fun fit(points: List<Point>): LinearFit {
        require(points.size >= MINIMUM_POINTS) { "a fit needs at least $MINIMUM_POINTS points" }
        val meanSize = points.map { it.size }.average()
        val meanValue = points.map { it.value }.average()
        val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
        require(spread > 0) { "a fit needs different sizes" }
        val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
        val intercept = meanValue - slope * meanSize
        val squares = points.map { (it.value - intercept - slope * it.size).let { distance -> distance * distance } }
        return LinearFit(intercept, slope, residual = sqrt(squares.average()))
    }
}
