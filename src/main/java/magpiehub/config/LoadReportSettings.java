package magpiehub.config;

import java.util.List;

/** Engines' load reports: the fields of each, none where there are no reports, and whether answers carry
 *  them, or probes alone. */
public record LoadReportSettings(List<String> fields, boolean answers) {}
