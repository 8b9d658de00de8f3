import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sessions write data with a line feed inside, or with a blank at the end. Servers may only run what was sent. */
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
                int port = deployment.proxies.get(round % 2).callerPort;
                String separator = trouble ? "\n" : " ";
                String end = trouble ? " " : "";
                String inside = "note" + separator + "QUERY inside." + round + " WRITE item2 data2";
                call(port, "line." + round, null, "WRITE item1 " + inside, sent, record);
                call(port, "blank." + round, "WRITE q2c", "EXECUTE s1 item3 data3" + end, sent, record);
            }
        }
        return judge(sent, record);
    }

    private static int judge(Map<String, String> sent, RunRecord record) {
        int unsent = 0;
        int changed = 0;
        for (List<RunRecord.Run> runs : record.runs().values()) {
            for (RunRecord.Run run : runs) {
                String text = sent.get(run.query());
                if (text == null) unsent++;
                else if (!withoutName(run.text()).equals(withoutName(text))) changed++;
                else continue;
                record.line(text == null ? "ran though no caller sent it" : "ran with changed text",
                        "query", run.query(), "sent", text, "ran", run.text());
            }
        }
        System.out.println(unsent + " statements ran that no caller sent, and " + changed + " with changed text; "
                + sent.size() + " were sent");
        return unsent + changed > 0 ? Main.BROKEN : Main.HELD;
    }

    // The names of prepared statements may be changed.
    private static String withoutName(String text) {
        return text.startsWith("EXECUTE ") ? "EXECUTE " + text.split(" ", 3)[2] : text;
    }

    private static void call(
            int port, String query, String prepared, String text, Map<String, String> sent, RunRecord record) {
        try (Client client = new Client(port, Deployment.DATABASE, 5_000)) {
            if (prepared != null) client.query(query + ".prepare", "PREPARE s1 " + prepared);
            sent.put(query, text);
            record.line("sent", "query", query, "text", "[" + text + "]");
            Client.Answer answer = client.query(query, text);
            record.line("answered", "query", query, "code", answer.code(), "proof", answer.proof());
            Threads.sleep(150);
        } catch (IOException failed) {
            record.line("session ended", "query", query, "reason", failed.getMessage());
        }
    }
}
