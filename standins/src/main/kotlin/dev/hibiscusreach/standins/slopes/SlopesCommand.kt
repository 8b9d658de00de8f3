package dev.hibiscusreach.standins.slopes

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Measures how the cost of a proxy grows with the sizes of the fleet. */
@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description = ["Measures how the cost of a proxy grows with the sizes of the fleet, in simulated time."],
)
internal class SlopesCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--output"], required = true, paramLabel = "FOLDER", description = ["Folder for the results."])
    private lateinit var output: Path

    @Option(names = ["--repetitions"], defaultValue = "3", description = ["Runs of each size."])
    private var repetitions: Int = 0

    override fun run() {
        // The first runs are compiled while they run, and would make the small sizes look expensive.
        repeat(WARM_UP_RUNS) { NodesExperiment(repetitions = 1).measure(WARM_UP_NODES, it) }
        val report = SlopeReport(output)
        val all = mutableListOf<Series>()
        val experiments =
            listOf(
                NodesExperiment(repetitions)::run,
                DatabasesExperiment(repetitions)::run,
                ChangesExperiment(repetitions)::run,
                FailoverExperiment(repetitions)::run,
                StepsExperiment(repetitions)::run,
                MemoryExperiment(repetitions)::run,
            )
        experiments.forEach { experiment ->
            val series = experiment()
            spec.commandLine().out.println(report.table(series))
            spec.commandLine().out.flush()
            all += series
        }
        report.write(all)
    }

    private companion object {
        const val WARM_UP_RUNS = 3
        const val WARM_UP_NODES = 32
    }
}
