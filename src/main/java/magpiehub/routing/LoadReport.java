package magpiehub.routing;

/**
 * A replica's load report. A value is NaN if the site does not define it or the report does not contain it.
 *
 * @param inFlight requests in progress
 * @param queueLength queued requests
 * @param utilization utilization, from 0 to 1
 * @param latencyMillis recent service time in milliseconds
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
