package magpiehub.upstream;

/**
 * Where an endpoint listens and whether it accepts requests.
 *
 * @param hostPort its address, or null if none is known
 * @param acceptsRequests false unless the endpoint list says that it is live
 */
record UpstreamEndpoint(String hostPort, boolean acceptsRequests) {
    /** Whether a request may be written to the endpoint. */
    boolean isUsable() {
        return acceptsRequests && hostPort != null;
    }

    /** The endpoint after an update; without an address the one known so far stays. */
    static UpstreamEndpoint updated(UpstreamEndpoint previous, String hostPort, boolean acceptsRequests) {
        String knownHostPort = previous == null ? null : previous.hostPort;
        return new UpstreamEndpoint(hostPort != null ? hostPort : knownHostPort, acceptsRequests);
    }
}
