package magpiehub.lifecycle;

import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/** The signals that the process handles: SIGHUP triggers a reload, SIGTERM and SIGINT a shutdown. */
public final class ProcessSignals {
    /** Signals have no payload, so the mailbox is never full. */
    private static final int MAILBOX_BYTES = 1;

    private final Mailbox<sun.misc.Signal> hangups = new Mailbox<>(MonotonicClock.SYSTEM, MAILBOX_BYTES);
    private final boolean hangupIgnored;

    private ProcessSignals() {
        sun.misc.SignalHandler previous = sun.misc.Signal.handle(new sun.misc.Signal("HUP"), hangups::post);
        hangupIgnored = previous == sun.misc.SignalHandler.SIG_IGN;
    }

    /**
     * Installs a handler for SIGHUP, which would otherwise terminate the JVM. Must be called first at startup; signals
     * are queued until {@link #awaitHangup} is called.
     */
    public static ProcessSignals install() {
        return new ProcessSignals();
    }

    /** Whether SIGHUP was ignored at startup, as with nohup; the JVM then keeps it ignored and none is delivered. */
    boolean isHangupIgnored() {
        return hangupIgnored;
    }

    /** Waits for the next SIGHUP. */
    void awaitHangup() throws InterruptedException {
        hangups.take(Long.MAX_VALUE);
    }

    /** Removes a pending SIGHUP from the queue; returns false if there is none. */
    boolean pollHangup() {
        return hangups.poll() != null;
    }

    /** Runs an action on SIGTERM, SIGINT or {@link System#exit}, before the process ends. */
    void onTermination(Runnable action) {
        Runtime.getRuntime().addShutdownHook(new Thread(action));
    }
}
