import java.io.IOException;
import java.util.List;

/** Writes that consumers rely on, and the check that none of them is lost. */
final class SignOffs {
    private SignOffs() {}

    /** Writes one and notes its identifier if it is acknowledged. */
    static void write(Consumer consumer, List<String> acknowledged) throws IOException, Unable {
        Consumer.Answer answer = consumer.query("WRITE signoff" + acknowledged.size() + " done");
        if (!answer.succeeded()) throw new Unable("the write failed: " + answer);
        acknowledged.add(answer.identifier());
    }

    /** Whether a server was promoted whose log lacked an acknowledged write. */
    static boolean areMissing(World world, Database database, List<String> acknowledged) {
        List<String> missing = database.missing(acknowledged);
        for (String statement : missing) world.record.line("LOST: the acknowledged write %s is not in the log of the promoted server", statement);
        return !missing.isEmpty();
    }
}
