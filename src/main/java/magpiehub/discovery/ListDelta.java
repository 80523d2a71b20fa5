package magpiehub.discovery;

import java.util.List;
import magpiehub.config.EndpointEntry;

/**
 * The exact changes from one version of the endpoint list to the next.
 *
 * @param version the list's version after the changes, also if nothing changed
 * @param complete whether the changes result from a complete list
 * @param historyChanged whether the list is from a different history than the previous one
 * @param put endpoints that are new or have changed
 * @param removed ids of endpoints that are no longer listed
 */
public record ListDelta(
        long version, boolean complete, boolean historyChanged, List<EndpointEntry> put, List<String> removed) {
    /** Whether nothing changed. */
    public boolean isEmpty() {
        return put.isEmpty() && removed.isEmpty();
    }
}
