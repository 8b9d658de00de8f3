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
 * delivered afterwards, as TCP does, also if the sender has closed its end meanwhile. A connection that is opened during
 * the cut is only established if its sender still waits for it at the end of the cut.
 */
final class Cable {
    private final ServerSocket listener;
    private final int target;
    private boolean cut;
    private volatile long delayMillis;

    Cable(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Delays everything that is sent on new connections, in each direction. */
    void delay(long millis) {
        delayMillis = millis;
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
                awaitHealed();
                // A sender that has given up has closed its end; a connection that it never had delivers nothing.
                Threads.sleep(50);
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

    private record Chunk(byte[] bytes, long dueAt) {}

    // One thread takes what arrives, another one delivers it when it is due.
    private void copy(Socket from, Socket to) {
        BlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>();
        Threads.start(() -> deliver(chunks, from, to));
        try {
            InputStream input = from.getInputStream();
            byte[] buffer = new byte[1 << 16];
            int read;
            while ((read = input.read(buffer)) >= 0) chunks.add(new Chunk(Arrays.copyOf(buffer, read), dueAt()));
        } catch (IOException failed) {
            // What was sent before is delivered all the same.
        }
        chunks.add(new Chunk(null, dueAt()));
    }

    private long dueAt() {
        return System.nanoTime() + delayMillis * 1_000_000;
    }

    private void deliver(BlockingQueue<Chunk> chunks, Socket from, Socket to) {
        try {
            OutputStream output = to.getOutputStream();
            while (true) {
                Chunk chunk = chunks.take();
                Threads.sleep((chunk.dueAt - System.nanoTime()) / 1_000_000);
                awaitHealed();
                if (chunk.bytes == null) {
                    to.shutdownOutput();
                    return;
                }
                output.write(chunk.bytes);
                output.flush();
            }
        } catch (IOException failed) {
            close(from);
            close(to);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
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
