import java.util.concurrent.Callable;

/** Threads that do not keep the process, and waits. */
final class Threads {
    private Threads() {}

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(Runnable action) {
        Thread thread = daemon(action);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** Waits until the condition holds; false if it does not hold in time. */
    static boolean await(long millis, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > end) return false;
            sleep(10);
        }
        return true;
    }
}
