/**
 * All routing decisions, as state machines without I/O.
 *
 * <p>The host (the request dispatcher, the simulator adapter or a test) reports {@link magpiehub.routing.RoutingEvents}
 * and carries out {@link magpiehub.routing.RoutingActions}; there is no other interface between the two.
 * {@link magpiehub.routing.RoutingPolicy} is the entry point and implements the path of a request. Each mechanism that
 * it uses is a package-private class with private state. The package imports no other package of the project.
 *
 * <p>Every time and duration is a {@code long} in microseconds, unless its name says otherwise. The host's clock has
 * an arbitrary origin and is expected to be monotonic; a time that lies before the previous one is replaced by it. Ids
 * are opaque strings. A missing number is 0; a missing value of a load report is NaN.
 */
package magpiehub.routing;
