/**
 * All routing decisions, as state machines without I/O.
 *
 * <p>{@link magpiehub.routing.RoutingEvents} go in, {@link magpiehub.routing.RoutingActions} come out, and nothing
 * else passes between the decisions and whatever hosts them: the request dispatcher, the simulator adapter or a test.
 * {@link magpiehub.routing.RoutingPolicy} is the entry point and shows the path of a request; each mechanism that it
 * asks is a package-private class of its own, which owns its fields. The package imports no other package of the
 * project.
 *
 * <p>Every time and duration is a {@code long} in microseconds, unless its name says otherwise. The host's clock has
 * no special start and may only go forward; a clock that steps back is read as standing still. Ids are opaque strings.
 * A missing number is 0, a missing value of a load report is NaN.
 */
package magpiehub.routing;
