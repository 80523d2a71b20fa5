package magpiehub.config;

import magpiehub.routing.Endpoint;

/** An entry of a list; {@code address} is null on wires where the id is the address. */
public record EndpointEntry(Endpoint server, String address) {}
