package magpiehub.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.upstream.UpstreamPool;

/**
 * Publishes the endpoint lists of a source, with the operators' maintenance applied, to the upstream pool and
 * the dispatcher. The pool is updated first, so that the dispatcher never sends to an endpoint whose address the pool
 * does not have. Belongs to the source's thread.
 */
public final class EndpointListPublisher implements EndpointListListener {
    private final MaintenanceOverlay overlay = new MaintenanceOverlay();
    private final UpstreamPool upstreams;
    private RequestDispatcher dispatcher;

    /** Creates a publisher; {@link #setDispatcher} must be called before it is used. */
    public EndpointListPublisher(UpstreamPool upstreams) {
        this.upstreams = upstreams;
    }

    /** Sets the dispatcher; must be called once, before anything is published. */
    public void setDispatcher(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** The operators' maintenance, which is applied to every published list and change. */
    public MaintenanceOverlay overlay() {
        return overlay;
    }

    /** Publishes a list or changes as the source reports them. */
    @Override
    public void deliver(EndpointListKind kind, List<EndpointEntry> entries) {
        send(kind, overlay.applyFromSource(kind, entries));
    }

    /** Reports that the source could not be reached. */
    public void deliverError() {
        dispatcher.updateEndpoints(EndpointListKind.ERROR, List.of());
    }

    /** Publishes the monotonic time until which the list may be used. */
    public void deliverValidity(long validUntilMicros) {
        upstreams.setEndpointsValidUntil(validUntilMicros);
        dispatcher.updateEndpointListValidity(validUntilMicros);
    }

    /** Applies an update of the operators' maintenance, publishes the list if it changed, and confirms the update. */
    public void applyMaintenance(MaintenanceUpdate update) {
        List<EndpointEntry> entries = overlay.applyMaintenance(update.outOfService(), update.returnedAtMicros());
        if (!entries.isEmpty()) {
            send(EndpointListKind.SAVED, entries);
        }
        dispatcher.execute(update.onApplied());
    }

    private void send(EndpointListKind kind, List<EndpointEntry> entries) {
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
            Set<String> ids = new HashSet<>(entries.size() * 2);
            entries.forEach(entry -> ids.add(entry.endpoint().id()));
            upstreams.retainEndpoints(ids);
        }
        for (EndpointEntry entry : entries) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.state() == EndpointState.DEAD) {
                upstreams.removeEndpoint(endpoint.id());
            } else {
                boolean acceptsRequests = endpoint.state() == EndpointState.LIVE;
                upstreams.updateEndpoint(endpoint.id(), entry.address(), acceptsRequests);
            }
        }
        dispatcher.updateEndpoints(
                kind, entries.stream().map(EndpointEntry::endpoint).toList());
    }
}
