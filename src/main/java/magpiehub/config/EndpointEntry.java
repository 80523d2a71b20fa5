package magpiehub.config;

import magpiehub.routing.Endpoint;

/**
 * An entry of an endpoint list.
 *
 * @param address the {@code host:port} to connect to; null in the simulator's lists, which have none
 */
public record EndpointEntry(Endpoint endpoint, String address) {}
