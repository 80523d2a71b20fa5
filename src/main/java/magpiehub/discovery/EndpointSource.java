package magpiehub.discovery;

import java.util.Map;
import java.util.Set;
import magpiehub.dispatch.EndpointListSource;
import magpiehub.dispatch.RequestDispatcher;

/** A source of endpoint lists: an actor that watches the platform's discovery or a registry. */
public interface EndpointSource extends EndpointListSource {
    /**
     * Starts the source.
     *
     * @param dispatcher receives the lists
     * @param saved the last list of a previous run of this router; null for none
     */
    void start(RequestDispatcher dispatcher, byte[] saved);

    /**
     * Whether there is a list that may be used: one received since the start, or a saved one if the source accepts
     * that. Any thread.
     */
    boolean hasUsableList();

    /** Waits until there is a list that may be used, or until the timeout. Any thread. */
    void awaitUsableList(long timeoutMillis) throws InterruptedException;

    /** Counters for {@code /counters}, one per line, name and value; empty if there are none. Any thread. */
    default String counterLines() {
        return "";
    }

    /** The operators' maintenance, which is applied to all lists of this source. */
    MaintenanceOverlay maintenanceOverlay();

    /**
     * Replaces the operators' maintenance. Any thread.
     *
     * @param outOfService ids of endpoints that are out of service
     * @param returnedAtMicros when other endpoints were returned to service, on the monotonic clock
     * @param onApplied runs on the dispatcher's thread once the dispatcher uses the update
     */
    void applyMaintenance(Set<String> outOfService, Map<String, Long> returnedAtMicros, Runnable onApplied);
}
