package magpiehub.config;

import magpiehub.routing.Endpoint;

/**
 * An entry of an endpoint list.
 *
 * @param endpoint the endpoint as the routing policy uses it
 * @param address the {@code host:port} to connect to; null in lists of the simulator, which have no addresses
 */
public record EndpointEntry(Endpoint endpoint, String address) {}
