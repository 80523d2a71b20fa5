package magpiehub.routing;

/**
 * Costs of resource usage and failures, each as a fraction of the value of one answer.
 *
 * @param crossZone an attempt sent to another zone
 * @param wastedAttempt an attempt whose result is not used
 * @param healthCheck a health check
 * @param lateFailure a request that fails at its deadline instead of immediately
 * @param connection keeping a connection open
 * @param handshake opening a connection
 */
public record RoutingCosts(
        double crossZone,
        double wastedAttempt,
        double healthCheck,
        double lateFailure,
        double connection,
        double handshake) {}
