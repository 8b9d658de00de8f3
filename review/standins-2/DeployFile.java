import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The deploy file of the project. */
final class DeployFile {
    private DeployFile() {}

    static String[] command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return line.substring(7, line.length() - 1).split(" ");
        }
        throw new IOException("no command in the deploy file");
    }
}
