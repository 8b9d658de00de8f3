import java.nio.file.Path;

/** A case: it returns whether the rule was broken. */
interface Case {
    /** A case that takes longer could not run. */
    long LIMIT_MILLIS = 110_000;

    boolean run(World world) throws Exception;

    /** Runs a case and ends the process with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] arguments, Case body) {
        Threads.start(Case::endLate);
        int code = 2;
        try (World world = new World(Path.of(arguments[0]))) {
            try {
                code = body.run(world) ? 1 : 0;
            } catch (Throwable failed) {
                world.record.line("the case could not run: %s", failed);
                failed.printStackTrace();
            }
            world.record.line("ended with %d: %s", code, code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "it could not run");
        } catch (Throwable failed) {
            failed.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private static void endLate() {
        Threads.sleep(LIMIT_MILLIS);
        System.exit(2);
    }
}
