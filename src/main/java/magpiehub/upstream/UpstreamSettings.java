package magpiehub.upstream;

import magpiehub.config.SiteSettings;

/**
 * The site's settings for upstream connections.
 *
 * @param connectTimeoutMillis the connect timeout; at least 1, since 0 would mean no timeout
 * @param maxIdleMicros how long a connection may be idle before the router closes it
 * @param loadReports the parser for the fields of the site's load reports
 */
record UpstreamSettings(int connectTimeoutMillis, long maxIdleMicros, LoadReportParser loadReports) {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * The fraction of the upstreams' own idle timeout after which the router closes an idle connection. A request that
     * is written after the upstream's timeout would fail with a connection reset.
     */
    private static final double MAX_IDLE_FRACTION = 0.5;

    static UpstreamSettings of(SiteSettings site) {
        long connectTimeoutMicros = site.routing().limits().connectTimeout();
        return new UpstreamSettings(
                (int) Math.max(1, connectTimeoutMicros / MICROS_PER_MILLI),
                maxIdleMicros(site.idleCloseMicros()),
                new LoadReportParser(site.loadReports()));
    }

    /** The maximum idle time of a connection, given the idle timeout of the upstreams. */
    static long maxIdleMicros(long idleTimeoutMicros) {
        return Math.max(1, (long) (idleTimeoutMicros * MAX_IDLE_FRACTION));
    }
}
