package magpiehub.concurrent;

/** Creates the platform threads of the process: daemons with small stacks. Any thread. */
public final class DaemonThreads {
    /** Bytes of a thread's stack; small, since stacks are the largest part of what a connection costs. */
    static final int STACK_BYTES = 160 * 1024;

    private DaemonThreads() {}

    /** A thread that has not been started. It does not keep the process alive. */
    public static Thread newThread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }
}
