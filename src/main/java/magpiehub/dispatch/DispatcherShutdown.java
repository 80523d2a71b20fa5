package magpiehub.dispatch;

import magpiehub.routing.RoutingActions;

/**
 * The dispatcher's part of a graceful shutdown: the process will be killed soon, so every open request has to be
 * answered now. Confined to the dispatcher's thread.
 */
final class DispatcherShutdown {
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final RoutingActions actions;

    DispatcherShutdown(RequestTable requests, RequestLifecycle lifecycle, RoutingActions actions) {
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.actions = actions;
    }

    /**
     * Rejects all new requests, answers open ones whose response stream has not started, and, if {@code migrateStreams}
     * is set, ends streams in progress so that clients resume them elsewhere; otherwise streams continue.
     */
    void begin(boolean migrateStreams) {
        lifecycle.rejectNewRequests();
        for (OpenRequest request : requests.snapshot()) {
            if (!request.isStreaming()) {
                lifecycle.answerForShutdown(request);
            } else if (migrateStreams) {
                actions.migrateStream(request.id());
            }
        }
    }
}
