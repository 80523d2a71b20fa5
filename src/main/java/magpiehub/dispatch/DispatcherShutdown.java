package magpiehub.dispatch;

import magpiehub.routing.RoutingActions;

/**
 * The dispatcher's part of a shutdown: the process is killed soon, so that every request has to have its answer now.
 * Belongs to the dispatcher's thread.
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
     * Rejects new requests from now on, answers those whose stream has not started, and ends streams in progress where
     * {@code migrateStreams} says that clients request the rest elsewhere. Other streams run on.
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
