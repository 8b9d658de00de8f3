import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A session writes data that contain a line feed. A server may only run the statements that were sent, unchanged. */
final class StatementTexts {
    private static final int ROUNDS = 10;

    private StatementTexts() {}

    static int run(Path repository, Path folder, RunRecord record, boolean trouble) throws IOException {
        Store store = new Store();
        Group group = new Group(Deployment.GROUP, store, record, 3);
        Platform platform = new Platform(group, record);
        Deployment.configure(store, "primary");
        Map<String, String> sent = new HashMap<>();
        try (Deployment deployment = new Deployment(repository, folder)) {
            if (!deployment.start(2, store.port(), platform.port())) return Main.COULD_NOT_RUN;
            Threads.sleep(2_000);
            for (int round = 1; round <= ROUNDS; round++) {
                String separator = trouble ? "\n" : " ";
                String data = "note" + separator + "QUERY inside." + round + " WRITE item2 data2";
                write(deployment.proxies.get(round % 2).callerPort, "sent." + round, "WRITE item1 " + data, sent, record);
            }
        }
        int wrong = 0;
        for (List<RunRecord.Run> runs : record.runs().values()) {
            for (RunRecord.Run run : runs) {
                String text = sent.get(run.query());
                if (run.text().equals(text)) continue;
                record.line(text == null ? "ran though no caller sent it" : "ran with changed text",
                        "query", run.query(), "sent", text, "ran", run.text());
                wrong++;
            }
        }
        System.out.println(wrong + " statements ran that no caller sent in this form; " + sent.size() + " were sent");
        return wrong > 0 ? Main.BROKEN : Main.HELD;
    }

    private static void write(int port, String query, String text, Map<String, String> sent, RunRecord record)
            throws IOException {
        try (Client client = new Client(port, Deployment.DATABASE, 5_000)) {
            sent.put(query, text);
            record.line("sent", "query", query, "text", text);
            Client.Answer answer = client.query(query, text);
            record.line("answered", "query", query, "code", answer.code(), "proof", answer.proof());
            Threads.sleep(200);
        } catch (IOException failed) {
            record.line("session ended", "query", query, "reason", failed.getMessage());
        }
    }
}
