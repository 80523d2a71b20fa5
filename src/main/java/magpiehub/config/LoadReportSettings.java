package magpiehub.config;

import java.util.List;

/**
 * Where upstreams report their load.
 *
 * @param fields the names of the fields that a report has; empty where there are no reports
 * @param inResponses whether every response carries a report; if not, only responses to health checks do
 */
public record LoadReportSettings(List<String> fields, boolean inResponses) {}
