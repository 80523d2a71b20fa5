package magpiehub.routing;

/** An entry of the server list. {@code onlineSince} is 0 if it started long ago. */
public record Endpoint(String id, int zone, int kind, int cell, EndpointState state, double weight, long onlineSince) {}
