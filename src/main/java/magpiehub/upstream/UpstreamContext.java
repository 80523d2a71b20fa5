package magpiehub.upstream;

import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.FlowController;
import magpiehub.telemetry.EventLog;

/** The state shared by the pool, its connections, their readers and the health checks. Thread-safe. */
final class UpstreamContext {
    private final MonotonicClock clock;
    private final EventLog eventLog;
    private final FlowController streams;
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();
    private final DoneMarkerHistory doneMarkers = new DoneMarkerHistory();
    private volatile UpstreamSettings settings;
    /** Set once, before the threads that use it start. */
    private RequestDispatcher dispatcher;

    UpstreamContext(SiteSettings site, MonotonicClock clock, EventLog eventLog, FlowController streams) {
        this.clock = clock;
        this.eventLog = eventLog;
        this.streams = streams;
        this.settings = UpstreamSettings.of(site);
    }

    MonotonicClock clock() {
        return clock;
    }

    EventLog eventLog() {
        return eventLog;
    }

    FlowController streams() {
        return streams;
    }

    UpstreamEndpoints endpoints() {
        return endpoints;
    }

    DoneMarkerHistory doneMarkers() {
        return doneMarkers;
    }

    UpstreamSettings settings() {
        return settings;
    }

    void updateSettings(SiteSettings site) {
        settings = UpstreamSettings.of(site);
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    void setDispatcher(RequestDispatcher requestDispatcher) {
        dispatcher = requestDispatcher;
    }

    /** Parses a load report and counts whether it is valid; returns null if it is not. */
    LoadReport parseLoadReport(LoadReportParser parser, String json) {
        LoadReport report = parser.parse(json);
        eventLog.count(report == null ? "load_reports_unreadable" : "load_reports");
        return report;
    }
}
