package dev.hibiscusreach.standins.slopes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.math.sqrt

class LeastSquaresTest {
    @Test
    fun `points on a line give that line without residual`() {
        val fit = LeastSquares.fit(listOf(Point(1.0, 5.0), Point(2.0, 7.0), Point(4.0, 11.0)))

        expectThat(fit).isEqualTo(LinearFit(intercept = 3.0, slope = 2.0, residual = 0.0))
    }

    @Test
    fun `the residual is the root of the mean squared distance`() {
        val fit = LeastSquares.fit(listOf(Point(-1.0, 1.0), Point(0.0, -2.0), Point(1.0, 1.0)))

        expectThat(fit).isEqualTo(LinearFit(intercept = 0.0, slope = 0.0, residual = sqrt(2.0)))
    }

    @Test
    fun `two sizes are rejected, because any line would fit them`() {
        assertThrows<IllegalArgumentException> { LeastSquares.fit(listOf(Point(1.0, 1.0), Point(2.0, 2.0))) }
    }
}
