import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** Runs one case: `Main CASE REPOSITORY RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
public final class Main {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long RUN_LIMIT_MS = 105_000;

    private Main() {}

    public static void main(String[] arguments) throws IOException {
        Path repository = Path.of(arguments[1]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result = COULD_NOT_RUN;
        Threads.start("limit", () -> {
            Threads.sleep(RUN_LIMIT_MS);
            System.err.println("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
        try (RunRecord record = new RunRecord(Path.of(arguments[2]))) {
            record.line("case", "name", arguments[0], "trouble", trouble);
            result = switch (arguments[0]) {
                case "prepared-names" -> PreparedNames.run(repository, folder, record, trouble);
                case "statement-texts" -> StatementTexts.run(repository, folder, record, trouble);
                case "configuration-after-freeze" ->
                        ConfigurationAfterFreeze.run(repository, folder, record, trouble);
                case "changer-killed" -> ChangerKilled.run(repository, folder, record, trouble);
                case "late-promotion" -> LatePromotion.run(repository, folder, record, trouble);
                default -> COULD_NOT_RUN;
            };
            record.line("ended", "exitCode", result);
        } catch (IOException | RuntimeException failed) {
            failed.printStackTrace();
        }
        delete(folder);
        System.exit(result);
    }

    private static void delete(Path folder) throws IOException {
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }
}
