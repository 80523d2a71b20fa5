package magpiehub.upstream;

import magpiehub.config.SiteSettings;

/**
 * What a site's settings say about upstreams.
 *
 * @param connectTimeoutMillis how long connecting may take; at least 1, since 0 would mean without limit
 * @param retireIdleAfterMicros how long a connection may be idle before this side closes it
 * @param resumesStreams whether clients request the rest of a stream that broke
 * @param loadReports the parser for the fields that the site's load reports have
 */
record UpstreamSettings(
        int connectTimeoutMillis, long retireIdleAfterMicros, boolean resumesStreams, LoadReportParser loadReports) {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * The part of the upstreams' own idle timeout after which a connection is retired: a request that is written after
     * the upstream has reached its timeout would end as a reset.
     */
    private static final double RETIRE_AT_PART_OF_IDLE_TIMEOUT = 0.5;

    static UpstreamSettings of(SiteSettings site) {
        long connectTimeoutMicros = site.routing().limits().connectTimeout();
        return new UpstreamSettings(
                (int) Math.max(1, connectTimeoutMicros / MICROS_PER_MILLI),
                retireIdleAfterMicros(site.idleCloseMicros()),
                site.routing().resumesStreams(),
                new LoadReportParser(site.loadReports()));
    }

    /** How long a connection may be idle, where upstreams close theirs after {@code idleTimeoutMicros}. */
    static long retireIdleAfterMicros(long idleTimeoutMicros) {
        return Math.max(1, (long) (idleTimeoutMicros * RETIRE_AT_PART_OF_IDLE_TIMEOUT));
    }
}
