package magpiehub.dispatch;

/**
 * The dispatcher's control over one attempt that {@link UpstreamFleet#startAttempt} has started. Called on the
 * dispatcher's thread only; neither method waits for the upstream.
 */
public interface AttemptHandle {
    /** The handle of an attempt that was not handed to an upstream or is over: there is nothing to close. */
    AttemptHandle NONE = new AttemptHandle() {
        @Override
        public void grant() {}

        @Override
        public void abort() {}
    };

    /**
     * Assigns the attempt's response stream to the client. Events that arrived before are forwarded now, later ones
     * as they arrive. Without this call nothing of the response may reach the client.
     */
    void grant();

    /**
     * Closes the attempt's connection before it returns, so that the request can't be in progress on two upstreams.
     * Has no effect on an attempt that is over.
     */
    void abort();
}
