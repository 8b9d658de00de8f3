import java.util.concurrent.ThreadFactory;

/** Helpers for threads. */
final class Threads {
    private Threads() {}

    static ThreadFactory daemon(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void start(String name, Runnable task) {
        daemon(name).newThread(task).start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
