package magpiehub.discovery;

import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/**
 * The objects that the components of one {@link RegistryClient} share.
 *
 * @param actor the mailbox of the client's actor
 * @param bytesRead counts the bytes read from registries
 */
record RegistryClientContext(
        MonotonicClock clock,
        RegistryEventLog log,
        Mailbox<RegistryMessage> actor,
        AtomicLong bytesRead,
        RegistryClientObserver observer) {
    /** Starts a daemon thread and reports it to the observer. */
    void startThread(String name, Runnable body) {
        Thread thread = DaemonThreads.newThread(name, body);
        observer.onThreadStarting(thread);
        thread.start();
    }
}
