package magpiehub.discovery;

import java.util.List;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointListKind;

/** Receives endpoint lists and changes, in order, on the source's actor thread. */
@FunctionalInterface
public interface EndpointListListener {
    /** Receives a complete list or a set of changes, as {@code kind} says. */
    void deliver(EndpointListKind kind, List<EndpointEntry> entries);
}
