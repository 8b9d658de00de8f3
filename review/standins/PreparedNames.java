import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Two sessions prepare shapes that differ in a blank and an underscore. Each has to run the shape that it prepared. */
final class PreparedNames {
    private static final int ROUNDS = 20;

    private PreparedNames() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        Platform platform = new Platform(group, record);
        Deployment.configure(store, "primary");
        String firstShape = "WRITE q2c_x";
        String secondShape = trouble ? "WRITE q2c x" : "WRITE q2c_y";
        try (Deployment deployment = new Deployment(repository, folder)) {
            if (!deployment.start(2, store.port(), platform.port())) return Main.COULD_NOT_RUN;
            Threads.sleep(2_000);
            int port = deployment.proxies.get(0).callerPort;
            try (Client first = new Client(port, Deployment.DATABASE, 5_000);
                    Client second = new Client(port, Deployment.DATABASE, 5_000)) {
                prepare(first, "first", firstShape, record);
                prepare(second, "second", secondShape, record);
                for (int round = 1; round <= ROUNDS; round++) {
                    execute(first, "first." + round, record);
                    execute(second, "second." + round, record);
                }
            }
        }
        int wrong = wrongRuns("first", firstShape, record) + wrongRuns("second", secondShape, record);
        int all = 2 * ROUNDS;
        System.out.println(wrong + " of " + all + " executions ran another shape than their caller prepared");
        return wrong > 0 ? Main.BROKEN : Main.HELD;
    }

    private static void prepare(Client client, String caller, String shape, RunRecord record) throws IOException {
        record.line("sent", "caller", caller, "text", "PREPARE s1 " + shape);
        Client.Answer answer = client.query(caller + ".prepare", "PREPARE s1 " + shape);
        record.line("answered", "caller", caller, "code", answer.code());
    }

    private static void execute(Client client, String query, RunRecord record) throws IOException {
        record.line("sent", "query", query, "text", "EXECUTE s1 item1 " + query);
        Client.Answer answer = client.query(query, "EXECUTE s1 item1 " + query);
        record.line("answered", "query", query, "code", answer.code(), "proof", answer.proof());
    }

    private static int wrongRuns(String caller, String shape, RunRecord record) {
        int wrong = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            for (RunRecord.Run run : record.runs().getOrDefault(caller + "." + round, List.of())) {
                if (shape.equals(run.shape())) continue;
                record.line("ran another shape", "query", run.query(), "prepared", shape, "ran", run.shape());
                wrong++;
            }
        }
        return wrong;
    }
}
