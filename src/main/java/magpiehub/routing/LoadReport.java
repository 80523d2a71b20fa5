package magpiehub.routing;

/**
 * A replica's own load report; a value is NaN where the site or the report lacks it.
 *
 * @param inFlight requests that it serves
 * @param queueLength requests that wait there
 * @param utilization utilization, from 0 to 1
 * @param latencyMillis its recent time of service in milliseconds
 * @param requestsPerSecond requests per second
 * @param errorsPerSecond errors per second
 * @param siteMetric0 first metric that only this site defines
 * @param siteMetric1 second metric that only this site defines
 */
public record LoadReport(
        double inFlight,
        double queueLength,
        double utilization,
        double latencyMillis,
        double requestsPerSecond,
        double errorsPerSecond,
        double siteMetric0,
        double siteMetric1) {}
