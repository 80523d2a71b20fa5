package magpiehub.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;

/**
 * Reports the responses of one watch to a listener. Fragments are buffered until the last one has arrived, because
 * applying part of a revision would produce a list that the registry never had.
 */
final class EtcdWatchStream {
    /** Bounds the buffer if etcd never sends the last fragment. */
    private static final int MAX_PENDING_CHANGES = 1_000_000;

    private final EtcdClient client;
    private final EtcdEntryReader entryReader;
    private final RegistryEventListener listener;

    /** Changes from fragments whose last one has not arrived yet. */
    private final List<ListItem> pendingChanges = new ArrayList<>();

    private long newestRevision;

    EtcdWatchStream(EtcdClient client, EtcdEntryReader entryReader, RegistryEventListener listener) {
        this.client = client;
        this.entryReader = entryReader;
        this.listener = listener;
    }

    /**
     * Processes the next response.
     *
     * @throws EtcdStatusException if the response ends the watch
     */
    void accept(EtcdWatchResponse response) throws IOException, InterruptedException {
        checkNotEnded(response);
        if (response.isCreated()) {
            listener.onWatchOpened(response.header());
        }
        for (EtcdWatchEvent event : response.events()) {
            newestRevision = Math.max(newestRevision, event.keyValue().modRevision());
            pendingChanges.add(entryReader.read(event));
        }
        if (response.isFragment()) {
            if (pendingChanges.size() > MAX_PENDING_CHANGES) {
                throw new ConfigurationException("watch fragments exceed " + MAX_PENDING_CHANGES + " changes");
            }
            return;
        }
        if (!pendingChanges.isEmpty()) {
            reportPendingChanges(response.header());
        } else if (!response.isCreated()) {
            // A progress notification: all events up to this revision have been sent.
            listener.onChanges(response.header(), List.of());
        }
    }

    private void reportPendingChanges(ListPosition header) throws IOException, InterruptedException {
        ListPosition position = new ListPosition(header.history(), header.term(), newestRevision);
        listener.onChanges(position, List.copyOf(pendingChanges));
        pendingChanges.clear();
    }

    private void checkNotEnded(EtcdWatchResponse response) throws IOException, InterruptedException {
        if (response.error() != null) {
            if (response.error().isUnauthenticated()) {
                client.invalidateToken();
            }
            throw response.error();
        }
        if (response.compactRevision() > 0) {
            listener.onCompacted("oldest available revision is " + response.compactRevision());
            throw new EtcdStatusException(
                    EtcdStatusException.OUT_OF_RANGE,
                    "watch revision was compacted; oldest available revision is " + response.compactRevision());
        }
        if (response.isCanceled()) {
            if (response.cancelReason().contains("auth token")) {
                client.invalidateToken();
            }
            throw new EtcdStatusException(0, "etcd cancelled the watch: " + response.cancelReason());
        }
    }
}
