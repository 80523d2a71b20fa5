package magpiehub.routing;

/**
 * Prices of what takes value away from service, each as a part of the value of one answer.
 *
 * @param crossZone an attempt sent to another zone
 * @param waste an attempt whose result is not used
 * @param probe a health check
 * @param lateFail a request that fails at its deadline instead of at once
 * @param connection keeping a connection open
 * @param handshake opening a connection
 */
public record RoutingCosts(
        double crossZone, double waste, double probe, double lateFail, double connection, double handshake) {}
