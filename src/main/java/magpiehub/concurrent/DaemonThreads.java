package magpiehub.concurrent;

/** Creates daemon threads with small stacks. Thread-safe. */
public final class DaemonThreads {
    /** Stack size of a thread. Kept small because stacks are the largest part of the memory of a connection. */
    static final int STACK_BYTES = 160 * 1024;

    private DaemonThreads() {}

    /** Creates a thread without starting it. It does not keep the process alive. */
    public static Thread newThread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }
}
