import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A path to an address that can be cut. While it is cut, nothing passes; what was sent on connections from before is
 * delivered afterwards, as TCP does, also if the sender has closed its end meanwhile, but not if it has reset the
 * connection. The opening packet of a connection is sent again after 1, 3 and 7 s; a connection that is opened during the
 * cut is established by the first of these after the cut, if its sender still waits for it.
 */
final class Cable {
    /** Pauses before the opening packet of a connection is sent again. */
    private static final long[] OPENING_PAUSES_MILLIS = {1_000, 2_000, 4_000};
    private static final byte[] END = new byte[0];

    private final ServerSocket listener;
    private final int target;
    private boolean cut;

    Cable(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
    }

    private synchronized void awaitHealed() {
        try {
            while (cut) wait();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private synchronized boolean isCut() {
        return cut;
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                boolean openedInCut = isCut();
                Threads.start(() -> connect(near, openedInCut));
            }
        } catch (IOException closed) {
            // The case has ended.
        }
    }

    private void connect(Socket near, boolean openedInCut) {
        try {
            near.setTcpNoDelay(true);
            byte[] first = new byte[1 << 16];
            int length = 0;
            if (openedInCut) {
                if (!awaitOpening()) {
                    near.close();
                    return;
                }
                // A sender that has given up has closed its end; a connection that it never had delivers nothing.
                near.setSoTimeout(50);
                boolean hasEnded = false;
                try {
                    int read;
                    while ((read = near.getInputStream().read(first, length, first.length - length)) >= 0) length += read;
                    hasEnded = true;
                } catch (java.net.SocketTimeoutException open) {
                    near.setSoTimeout(0);
                }
                if (hasEnded) {
                    near.close();
                    return;
                }
            }
            Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
            far.setTcpNoDelay(true);
            far.getOutputStream().write(first, 0, length);
            Threads.start(() -> copy(far, near));
            copy(near, far);
        } catch (IOException failed) {
            close(near);
        }
    }

    private boolean awaitOpening() {
        for (long pause : OPENING_PAUSES_MILLIS) {
            Threads.sleep(pause);
            if (!isCut()) return true;
        }
        return false;
    }

    // One thread takes what arrives, another one delivers it. An empty array stands for the end.
    private void copy(Socket from, Socket to) {
        BlockingQueue<byte[]> chunks = new LinkedBlockingQueue<>();
        Threads.start(() -> deliver(chunks, from, to));
        try {
            InputStream input = from.getInputStream();
            byte[] buffer = new byte[1 << 16];
            int read;
            while ((read = input.read(buffer)) >= 0) chunks.add(Arrays.copyOf(buffer, read));
            chunks.add(END);
        } catch (IOException reset) {
            // What is held up is lost if its sender resets the connection.
            chunks.clear();
            close(to);
        }
    }

    private void deliver(BlockingQueue<byte[]> chunks, Socket from, Socket to) {
        try {
            OutputStream output = to.getOutputStream();
            while (true) {
                awaitHealed();
                byte[] chunk = chunks.peek();
                if (chunk == null || isCut()) {
                    Threads.sleep(1);
                    continue;
                }
                if (chunks.poll() != chunk) return;
                if (chunk == END) {
                    to.shutdownOutput();
                    return;
                }
                output.write(chunk);
                output.flush();
            }
        } catch (IOException failed) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
