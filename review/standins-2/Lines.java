import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Lines that end with CR LF. */
final class Lines {
    private Lines() {}

    /** The next line without its end; null at the end of the input. */
    static String read(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int last = -1;
        int next;
        while ((next = input.read()) >= 0) {
            if (next == '\n' && last == '\r') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.substring(0, text.length() - 1);
            }
            line.write(next);
            last = next;
        }
        return null;
    }
}
