package magpiehub.dispatch;

/**
 * Controls one attempt that {@link UpstreamFleet#startAttempt} has started. Called on the dispatcher's thread only;
 * neither method waits for the upstream.
 */
public interface AttemptHandle {
    /** A no-op handle for an attempt that has not been passed to an upstream or is over. */
    AttemptHandle NONE = new AttemptHandle() {
        @Override
        public void startForwarding() {}

        @Override
        public void abort() {}
    };

    /**
     * Starts forwarding the attempt's response stream to the client: events received so far immediately, later ones as
     * they arrive. Before this call, no part of the response may reach the client.
     */
    void startForwarding();

    /**
     * Closes the attempt's connection before returning, so that the request is never in progress on two upstreams. Has
     * no effect on an attempt that is over.
     */
    void abort();
}
