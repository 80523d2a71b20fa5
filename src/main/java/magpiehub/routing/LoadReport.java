package magpiehub.routing;

/**
 * A replica's own load report; a value is NaN where the site or the report lacks it.
 *
 * @param inflight requests that it serves
 * @param queue requests that wait there
 * @param util utilisation, from 0 to 1
 * @param latencyMs its recent time of service in milliseconds
 * @param qps requests a second
 * @param eps errors a second
 * @param x0 a figure of the site's own
 * @param x1 a figure of the site's own
 */
public record LoadReport(
        double inflight, double queue, double util, double latencyMs, double qps, double eps, double x0, double x1) {}
