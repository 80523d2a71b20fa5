package magpiehub.discovery;

import java.util.Map;
import java.util.Set;
import magpiehub.dispatch.EndpointListSource;
import magpiehub.dispatch.RequestDispatcher;

/** A source of endpoint lists: an actor that follows the platform's discovery or a registry. */
public interface EndpointSource extends EndpointListSource {
    /**
     * Starts the source.
     *
     * @param dispatcher receives the lists
     * @param saved the list as this router last had it; null for none
     */
    void start(RequestDispatcher dispatcher, byte[] saved);

    /** Whether a list is known: received since the start, or saved where that is enough. Any thread. */
    boolean hasUsableList();

    /** Waits until a list is known, at most for so long. Any thread. */
    void awaitUsableList(long timeoutMillis) throws InterruptedException;

    /** Counters for {@code /counters}, one a line, name and value; empty where there are none. Any thread. */
    default String counterLines() {
        return "";
    }

    /** The operators' maintenance, which is applied to all lists of this source. */
    MaintenanceOverlay maintenanceOverlay();

    /**
     * Replaces the operators' maintenance. Any thread.
     *
     * @param outOfService ids of endpoints that are out of service
     * @param backSinceMicros when others were put back into service, on the monotonic clock
     * @param onApplied runs on the dispatcher's thread once the dispatcher goes by it
     */
    void applyMaintenance(Set<String> outOfService, Map<String, Long> backSinceMicros, Runnable onApplied);
}
