import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports of the loopback address, below those that the system gives to outgoing connections. */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int NUMBER = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    static synchronized int free() {
        while (true) {
            int port = FIRST + RANDOM.nextInt(NUMBER);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // Another one is tried.
            }
        }
    }
}
