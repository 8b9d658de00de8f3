import java.nio.file.Path;

/** A case: it returns whether the rule was broken. */
interface Case {
    boolean run(World world) throws Exception;

    /** Runs a case and ends the process with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] arguments, Case body) {
        int code = 2;
        try (World world = new World(Path.of(arguments[0]))) {
            try {
                code = body.run(world) ? 1 : 0;
            } catch (Exception failed) {
                world.record.line("the case could not run: %s", failed);
                failed.printStackTrace();
            }
            world.record.line(code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case could not run");
        } catch (Exception failed) {
            failed.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
