package dev.hibiscusreach.standins.slopes

import org.apache.commons.csv.CSVFormat
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/** Writes the measured series as a table, as raw data and as plots. */
internal class SlopeReport(private val folder: Path) {
    fun write(all: List<Series>) {
        Files.createDirectories(folder)
        Files.writeString(folder.resolve("slopes.md"), table(all))
        writeRuns(all)
        all.forEach { plot(it) }
    }

    /** One row for each series, with its fit. */
    fun table(all: List<Series>): String =
        (HEADER + all.map(::row)).joinToString(separator = "\n", postfix = "\n")

    private fun row(series: Series): String {
        val quantity = series.quantity
        val fit = series.fit
        val values = series.points.joinToString { "${number(it.size)}: ${number(it.value)}" }
        return "| ${quantity.name} | ${quantity.unit} | ${quantity.variable} | ${number(fit.intercept)} | " +
            "${number(fit.slope)} | ${number(fit.residual)} | $values (${quantity.statistic.label}) |"
    }

    private fun writeRuns(all: List<Series>) {
        val format = CSVFormat.DEFAULT.builder().setHeader("quantity", "unit", "variable", "size", "run", "value").get()
        format.print(folder.resolve("slopes.csv"), Charsets.UTF_8).use { printer ->
            for (series in all) {
                for ((size, values) in series.runs) {
                    values.forEachIndexed { run, value ->
                        val quantity = series.quantity
                        printer.printRecord(quantity.name, quantity.unit, quantity.variable, size, run, value)
                    }
                }
            }
        }
    }

    private fun plot(series: Series) {
        val quantity = series.quantity
        val chart =
            XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(quantity.name)
                .xAxisTitle(quantity.variable)
                .yAxisTitle(quantity.unit)
                .build()
        chart.styler.defaultSeriesRenderStyle = XYSeriesRenderStyle.Scatter
        val sizes = series.points.map { it.size }
        chart.addSeries(quantity.statistic.label, sizes, series.points.map { it.value })
        val fit = series.fit
        chart.addSeries("least squares", sizes, sizes.map(fit::at)).xySeriesRenderStyle = XYSeriesRenderStyle.Line
        save(chart, quantity)
    }

    private fun save(chart: XYChart, quantity: Quantity) {
        val name = "${quantity.name} by ${quantity.variable}".lowercase().replace(Regex("[^a-z0-9]+"), "-")
        VectorGraphicsEncoder.saveVectorGraphic(chart, folder.resolve(name).toString(), VectorGraphicsFormat.SVG)
    }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.4g", value)

    private companion object {
        val HEADER =
            listOf(
                "| quantity | unit | variable | intercept | slope | residual | values |",
                "| --- | --- | --- | --- | --- | --- | --- |",
            )
        const val WIDTH = 640
        const val HEIGHT = 400
    }
}
