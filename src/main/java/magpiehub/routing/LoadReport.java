package magpiehub.routing;

/** A server's own load report; NaN where the site or the report lacks a value. */
public record LoadReport(
        double inflight, double queue, double util, double latencyMs, double qps, double eps, double x0, double x1) {}
