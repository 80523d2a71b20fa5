package magpiehub.routing;

/** Prices of the things that cost service, as parts of it. */
public record RoutingCosts(
        double crossZone, double waste, double probe, double lateFail, double connection, double handshake) {}
