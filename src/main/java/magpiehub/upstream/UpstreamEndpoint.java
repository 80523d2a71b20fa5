package magpiehub.upstream;

/**
 * The address of an endpoint and whether it accepts requests.
 *
 * @param hostPort its address, or null if none is known
 * @param acceptsRequests whether the endpoint list gives its state as live
 */
record UpstreamEndpoint(String hostPort, boolean acceptsRequests) {
    /** Whether a request may be written to the endpoint. */
    boolean isUsable() {
        return acceptsRequests && hostPort != null;
    }

    /** The endpoint after an update; if the update has no address, the known one is kept. */
    static UpstreamEndpoint updated(UpstreamEndpoint previous, String hostPort, boolean acceptsRequests) {
        String knownHostPort = previous == null ? null : previous.hostPort;
        return new UpstreamEndpoint(hostPort != null ? hostPort : knownHostPort, acceptsRequests);
    }
}
