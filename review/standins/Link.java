import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A network link to a port. While it is cut, nothing passes. Bytes that are held up on an established connection are
 * delivered afterwards, unless their sender resets the connection. A connection that is opened during the cut is not
 * established: nothing that is sent on it arrives.
 */
final class Link {
    private final ServerSocket listener;
    private final int target;
    private final RunRecord record;
    private final String name;
    private boolean cut;

    Link(String name, int target, RunRecord record) throws IOException {
        this.name = name;
        this.target = target;
        this.record = record;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("link " + name, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Opens no further connections. */
    void stop() throws IOException {
        listener.close();
    }

    synchronized void cut() {
        cut = true;
        record.line("link cut", "link", name);
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
        record.line("link healed", "link", name);
    }

    private synchronized boolean isCut() {
        return cut;
    }

    private synchronized void awaitPassage() {
        while (cut) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Threads.start("link connection", () -> serve(near));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket near) {
        if (isCut()) {
            awaitPassage();
            close(near);
            return;
        }
        try {
            Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Threads.start("link forward", () -> pump(near, far));
            pump(far, near);
        } catch (IOException failed) {
            close(near);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPassage();
                out.write(buffer, 0, count);
            }
            awaitPassage();
            to.shutdownOutput();
        } catch (IOException broken) {
            close(from);
            close(to);
        }
    }

    /** Closes [socket] without an error if it is closed already. */
    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
