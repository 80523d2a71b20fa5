package magpiehub.downstream;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Starts the readers of connections once their first byte has arrived. Used above the soft limit of connections, so
 * that clients that send nothing do not occupy a thread each.
 */
final class FirstByteWatcher {
    private static final int POLL_PERIOD_MILLIS = 5;

    /**
     * Connections without a reader that {@link #run} has not taken over yet; they are in {@link OpenConnections} too.
     */
    private final LinkedBlockingQueue<ClientConnection> added = new LinkedBlockingQueue<>();

    /** Watches a connection until its first byte or its end. May be called from any thread. */
    void watch(ClientConnection connection) {
        added.add(connection);
    }

    /** Watches connections until interrupted. Called by one thread. */
    void run() {
        List<ClientConnection> waiting = new ArrayList<>();
        try {
            while (true) {
                if (waiting.isEmpty()) {
                    waiting.add(added.take());
                }
                added.drainTo(waiting);
                waiting.removeIf(ClientConnection::startReaderIfReadable);
                Thread.sleep(POLL_PERIOD_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
