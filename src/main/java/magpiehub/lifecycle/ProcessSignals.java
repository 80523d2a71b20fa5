package magpiehub.lifecycle;

import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/** The signals that the process handles: SIGHUP asks for a reload, SIGTERM and SIGINT end it. */
public final class ProcessSignals {
    /** Signals have no payload, so the mailbox is never full. */
    private static final int MAILBOX_BYTES = 1;

    private final Mailbox<sun.misc.Signal> hangups = new Mailbox<>(MonotonicClock.SYSTEM, MAILBOX_BYTES);
    private final boolean hangupIgnored;

    private ProcessSignals() {
        sun.misc.SignalHandler before = sun.misc.Signal.handle(new sun.misc.Signal("HUP"), hangups::post);
        hangupIgnored = before == sun.misc.SignalHandler.SIG_IGN;
    }

    /**
     * Takes over SIGHUP, which the JVM would answer by ending the process. To be called before anything else; signals
     * wait until {@link #awaitHangup} asks for them.
     */
    public static ProcessSignals install() {
        return new ProcessSignals();
    }

    /** Whether the process inherited an ignored SIGHUP, as from nohup: the JVM leaves it so, and none ever arrives. */
    boolean isHangupIgnored() {
        return hangupIgnored;
    }

    /** Waits for the next SIGHUP. */
    void awaitHangup() throws InterruptedException {
        hangups.take(Long.MAX_VALUE);
    }

    /** Takes a further SIGHUP if one has arrived already. */
    boolean pollHangup() {
        return hangups.poll() != null;
    }

    /** Runs an action on SIGTERM, SIGINT or {@link System#exit}, before the process ends. */
    void onTermination(Runnable action) {
        Runtime.getRuntime().addShutdownHook(new Thread(action));
    }
}
