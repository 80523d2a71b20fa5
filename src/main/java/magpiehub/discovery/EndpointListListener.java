package magpiehub.discovery;

import java.util.List;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointListKind;

/** Receives endpoint lists and changes, in order, on the source's actor thread. */
@FunctionalInterface
public interface EndpointListListener {
    void deliver(EndpointListKind kind, List<EndpointEntry> entries);
}
