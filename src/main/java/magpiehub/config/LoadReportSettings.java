package magpiehub.config;

import java.util.List;

/**
 * How upstreams report their load.
 *
 * @param fields the names of a report's fields; empty if there are no reports
 * @param inResponses whether every response carries a report; if false, only responses to health checks do
 */
public record LoadReportSettings(List<String> fields, boolean inResponses) {}
