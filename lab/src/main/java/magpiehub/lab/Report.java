package magpiehub.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/**
 * The report of a run: a JSON file and a self-contained HTML page, which is generated from the JSON alone. Compares
 * two runs by their JSON.
 */
final class Report {
    private static final long BUCKET_MICROS = 250_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HTML_HEAD =
            """
            <!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
            <style>body{font:14px sans-serif;max-width:60em;margin:1em auto;padding:0 1em}
            table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ccc}
            .no{color:#b00020;font-weight:bold}svg{max-width:100%%;height:auto}</style><body>
            """;

    private Report() {}

    /** Writes report.json and report.html; returns the JSON. */
    static ObjectNode write(Fleet.RunResult run, List<RunEvaluation.Bound> bounds, Path folder, String jar)
            throws IOException {
        ObjectNode report = json(run, bounds, jar);
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("report.json"),
                JSON.writerWithDefaultPrettyPrinter().writeValueAsString(report) + "\n");
        Files.writeString(folder.resolve("report.html"), html(List.of(report)));
        return report;
    }

    private static double seconds(Fleet.RunResult run, long at) {
        return Math.round((at - run.from()) / 1000.0) / 1000.0;
    }

    private static ObjectNode json(Fleet.RunResult run, List<RunEvaluation.Bound> bounds, String jar) {
        ObjectNode report = JSON.createObjectNode();
        report.put("scenario", run.scenario().name);
        report.put("seed", run.scenario().seed);
        report.put("jar", jar);
        ArrayNode sites = report.putArray("sites");
        run.scenario().sites.forEach(s -> sites.add(s.name()));
        ArrayNode boundNodes = report.putArray("bounds");
        bounds.forEach(bound -> boundNodes
                .addObject()
                .put("name", bound.name())
                .put("seen", bound.seen())
                .put("allowed", bound.allowed())
                .put("holds", bound.holds()));
        ObjectNode totals = report.putObject("totals");
        RunEvaluation evaluation = new RunEvaluation(run);
        Histogram firstTokenTimes = evaluation.firstTokenTimes(Long.MIN_VALUE, Long.MAX_VALUE);
        totals.put("requests", run.results().size());
        totals.put("servedWorth", round(evaluation.servedShare(Long.MIN_VALUE, Long.MAX_VALUE, -1)));
        totals.put("attempts", run.attempts().size());
        totals.put("firstTokenP50Ms", firstTokenTimes.getValueAtPercentile(50) / 1000.0);
        totals.put("firstTokenP99Ms", firstTokenTimes.getValueAtPercentile(99) / 1000.0);
        totals.put("rigLateP99Ms", run.sendDelayP99Micros() / 1000.0);
        totals.put("routerMemoryMb", evaluation.maxRouterMemoryKb() / 1024);
        Map<String, int[]> countsByEnd = new TreeMap<>();
        for (LoadGenerator.RequestRecord r : run.results()) {
            String site = run.scenario().sites.get(r.site()).name();
            String kind = run.scenario().requests.classes().get(r.classIndex()).name();
            String how = r.outcome().name().toLowerCase(Locale.ROOT) + (r.excused() ? " (fault)" : "");
            countsByEnd.computeIfAbsent(site + "|" + kind + "|" + how, k -> new int[1])[0]++;
        }
        ArrayNode endNodes = report.putArray("ends");
        countsByEnd.forEach((k, count) -> {
            String[] keys = k.split("\\|");
            endNodes.addObject()
                    .put("site", keys[0])
                    .put("class", keys[1])
                    .put("how", keys[2])
                    .put("requests", count[0]);
        });
        ObjectNode counters = report.putObject("counters");
        run.counters().forEach((router, lines) -> {
            ObjectNode c = counters.putObject(router);
            lines.lines().map(l -> l.split(" ", 2)).filter(w -> w.length == 2).forEach(w -> c.put(w[0], w[1]));
        });
        ArrayNode stateChanges = report.putArray("stands");
        run.siteStateChanges().forEach(x -> stateChanges
                .addObject()
                .put("s", seconds(run, x.at()))
                .put("router", x.router())
                .put("site", x.site())
                .put("from", x.from())
                .put("to", x.to())
                .put("cause", x.cause()));
        ArrayNode faults = report.putArray("faults");
        run.faults()
                .forEach(f -> faults.addObject().put("s", seconds(run, f.at())).put("what", f.description()));
        ArrayNode violations = report.putArray("violations");
        evaluation.concurrentAttempts().forEach(x -> violations.add("two attempts: " + x));
        run.attemptsToDrained().forEach(x -> violations.add("drained: " + x));
        run.crashedEngines().forEach(x -> violations.add("fell: " + x));
        run.failures().forEach(x -> violations.add("fault: " + x));
        run.results().stream()
                .filter(LoadGenerator.RequestRecord::isUnanswered)
                .limit(50)
                .forEach(r -> violations.add(r.outcome() + ": " + r.requestId() + " router " + r.router() + " due at "
                        + seconds(run, r.dueMicros()) + " s, ended at " + seconds(run, r.endMicros()) + " s"));
        report.set("series", series(run));
        return report;
    }

    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    private static void addPoint(ObjectNode series, String chart, String name, double x, double y) {
        ObjectNode chartNode = series.has(chart) ? (ObjectNode) series.get(chart) : series.putObject(chart);
        ArrayNode pointNodes = chartNode.has(name) ? (ArrayNode) chartNode.get(name) : chartNode.putArray(name);
        pointNodes.addArray().add(Math.round(x * 1000) / 1000.0).add(round(y));
    }

    /** Adds the number of conversations per second whose turn went to another site than the previous turn. */
    private static void addSiteChanges(Fleet.RunResult run, ObjectNode series) {
        Map<String, String> siteOfRequest = new HashMap<>();
        run.attempts()
                .forEach(attempt -> siteOfRequest.put(
                        attempt.requestId(),
                        attempt.engine().substring(0, attempt.engine().lastIndexOf("-e"))));
        Map<String, String> lastSite = new HashMap<>();
        int[] moved = new int[(int) (run.scenario().lengthMs / 1000) + 1];
        run.results().stream()
                .sorted(Comparator.comparingLong(LoadGenerator.RequestRecord::dueMicros))
                .forEach(r -> {
                    String site = siteOfRequest.get(r.requestId());
                    String previousSite = site == null ? null : lastSite.put(r.sessionHash(), site);
                    moved[(int) ((r.dueMicros() - run.from()) / 1_000_000)] +=
                            previousSite == null || previousSite.equals(site) ? 0 : 1;
                });
        for (int i = 0; i < moved.length; i++) {
            addPoint(series, "Conversations that changed their site, a second", "all", i, moved[i]);
        }
    }

    private static ObjectNode series(Fleet.RunResult run) {
        ObjectNode series = JSON.createObjectNode();
        addSiteChanges(run, series);
        int siteCount = run.scenario().sites.size();
        long buckets = run.scenario().lengthMs * 1000 / BUCKET_MICROS;
        for (long i = 0; i < buckets; i++) {
            long from = run.from() + i * BUCKET_MICROS;
            double seconds = i * BUCKET_MICROS / 1e6;
            Histogram firstTokens = new Histogram(60_000_000L, 3);
            double[] dueValue = new double[siteCount];
            double[] servedValue = new double[siteCount];
            Map<LoadGenerator.RequestOutcome, Double> valueByOutcome = new TreeMap<>();
            long maxSendDelay = 0;
            for (LoadGenerator.RequestRecord r : run.results()) {
                if (r.dueMicros() < from || r.dueMicros() >= from + BUCKET_MICROS) {
                    continue;
                }
                dueValue[r.site()] += r.gain();
                maxSendDelay = r.retries() == 0 ? Math.max(maxSendDelay, r.sentMicros() - r.dueMicros()) : maxSendDelay;
                servedValue[r.site()] += r.outcome() == LoadGenerator.RequestOutcome.SERVED ? r.gain() : 0;
                valueByOutcome.merge(r.outcome(), r.gain(), Double::sum);
                if (r.firstTokenMicros() >= 0) {
                    firstTokens.recordValue(Math.min(60_000_000L, r.firstTokenMicros()));
                }
            }
            for (int site = 0; site < siteCount; site++) {
                if (dueValue[site] > 0) {
                    addPoint(
                            series,
                            "Served of what was due, by the clients' site",
                            run.scenario().sites.get(site).name(),
                            seconds,
                            servedValue[site] / dueValue[site]);
                }
            }
            for (LoadGenerator.RequestOutcome outcome : LoadGenerator.RequestOutcome.values()) {
                if (run.results().stream().anyMatch(r -> r.outcome() == outcome)) {
                    addPoint(
                            series,
                            "Worth a second by end",
                            outcome.name().toLowerCase(Locale.ROOT),
                            seconds,
                            valueByOutcome.getOrDefault(outcome, 0.0) * 1e6 / BUCKET_MICROS);
                }
            }
            addPoint(series, "Left late by the rig itself, the most (ms)", "rig", seconds, maxSendDelay / 1000.0);
            if (firstTokens.getTotalCount() > 0) {
                addPoint(series, "First tokens (ms)", "p50", seconds, firstTokens.getValueAtPercentile(50) / 1000.0);
                addPoint(series, "First tokens (ms)", "p99", seconds, firstTokens.getValueAtPercentile(99) / 1000.0);
            }
        }
        for (Fleet.EngineLoad load : run.loads()) {
            String name = run.scenario().sites.get(load.site()).name();
            if (load.at() >= run.from()) {
                addPoint(
                        series,
                        "Requests at the engines, by site",
                        name + " running",
                        seconds(run, load.at()),
                        load.running());
                addPoint(
                        series,
                        "Requests at the engines, by site",
                        name + " waiting",
                        seconds(run, load.at()),
                        load.waiting());
            }
        }
        Map<String, ProcessManager.ResourceSample> lastSamples = new LinkedHashMap<>();
        for (ProcessManager.ResourceSample sample : run.samples()) {
            double seconds = seconds(run, sample.at());
            addPoint(series, "Resident memory of each process (MB)", sample.name(), seconds, sample.rssKb() / 1024.0);
            ProcessManager.ResourceSample previous = lastSamples.put(sample.name(), sample);
            if (previous != null && sample.at() > previous.at() && sample.cpuMs() >= previous.cpuMs()) {
                addPoint(
                        series,
                        "CPU of each process (cores)",
                        sample.name(),
                        seconds,
                        (sample.cpuMs() - previous.cpuMs()) * 1000.0 / (sample.at() - previous.at()));
            }
        }
        return series;
    }

    // ---- The page -------------------------------------------------------------------------------------
    /** An HTML page of one run, or of two with their charts overlaid. */
    static String html(List<? extends JsonNode> runs) {
        StringBuilder page = new StringBuilder(
                HTML_HEAD.formatted(escape(runs.get(0).path("scenario").asText())));
        for (int i = 0; i < runs.size(); i++) {
            JsonNode run = runs.get(i);
            page.append("<h1>")
                    .append(escape(run.path("scenario").asText()))
                    .append(", seed ")
                    .append(run.path("seed").asLong())
                    .append(runs.size() > 1 ? i == 0 ? " (A)" : " (B)" : "")
                    .append("</h1><p>")
                    .append(escape(run.path("jar").asText()))
                    .append("</p><table><tr><th>Bound<th>Seen<th>Allowed</tr>");
            for (JsonNode bound : run.path("bounds")) {
                page.append("<tr")
                        .append(bound.path("holds").asBoolean() ? "" : " class=\"no\"")
                        .append("><td>")
                        .append(escape(bound.path("name").asText()))
                        .append("<td>")
                        .append(escape(bound.path("seen").asText()))
                        .append("<td>")
                        .append(escape(bound.path("allowed").asText()))
                        .append("</tr>");
            }
            page.append("</table><h2>Faults</h2><table>");
            for (JsonNode fault : run.path("faults")) {
                page.append("<tr><td>")
                        .append(fault.path("s").asText())
                        .append(" s<td>")
                        .append(escape(fault.path("what").asText()))
                        .append("</tr>");
            }
            page.append("</table><h2>How requests ended</h2>")
                    .append("<table><tr><th>Site<th>Class<th>End<th>Requests</tr>");
            for (JsonNode end : run.path("ends")) {
                page.append("<tr><td>")
                        .append(escape(end.path("site").asText()))
                        .append("<td>")
                        .append(escape(end.path("class").asText()))
                        .append("<td>")
                        .append(escape(end.path("how").asText()))
                        .append("<td>")
                        .append(end.path("requests").asInt())
                        .append("</tr>");
            }
            page.append("</table>");
            for (JsonNode violation : run.path("violations")) {
                page.append("<p class=\"no\">")
                        .append(escape(violation.asText()))
                        .append("</p>");
            }
        }
        List<String> charts = new ArrayList<>();
        runs.get(0).path("series").fieldNames().forEachRemaining(charts::add);
        for (String chart : charts) {
            page.append(chart(chart, runs));
        }
        return page.append("</body></html>\n").toString();
    }

    private static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String chart(String name, List<? extends JsonNode> runs) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (int i = 0; i < runs.size(); i++) {
            JsonNode series = runs.get(i).path("series").path(name);
            String mark = runs.size() > 1 ? i == 0 ? " A" : " B" : "";
            series.fields().forEachRemaining(field -> {
                XYSeries points = new XYSeries(field.getKey() + mark);
                field.getValue()
                        .forEach(point ->
                                points.add(point.get(0).asDouble(), point.get(1).asDouble()));
                data.addSeries(points);
            });
        }
        JFreeChart chart =
                ChartFactory.createXYLineChart(name, "s", null, data, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
        lines.setDefaultStroke(new BasicStroke(1.5f));
        lines.setAutoPopulateSeriesStroke(false);
        plot.setRenderer(lines);
        for (JsonNode fault : runs.get(0).path("faults")) {
            ValueMarker marker = new ValueMarker(fault.path("s").asDouble(), Color.RED, new BasicStroke(1f));
            marker.setLabel(fault.path("what").asText());
            marker.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 9));
            marker.setLabelAnchor(org.jfree.chart.ui.RectangleAnchor.TOP_LEFT);
            marker.setLabelTextAnchor(org.jfree.chart.ui.TextAnchor.TOP_RIGHT);
            plot.addDomainMarker(marker);
        }
        SVGGraphics2D graphics = new SVGGraphics2D(900, 320);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, 900, 320));
        return "<div>" + graphics.getSVGElement() + "</div>";
    }

    // ---- Comparison ------------------------------------------------------------------------------------
    /** A table that shows the totals and bounds of two runs side by side, as lines. */
    static List<String> compare(JsonNode a, JsonNode b) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(Locale.ROOT, "%-66s %14s %14s", "", "A", "B"));
        if (!a.path("scenario").equals(b.path("scenario")) || !a.path("seed").equals(b.path("seed"))) {
            lines.add("the runs have different scenarios or seeds: "
                    + a.path("scenario").asText() + " "
                    + a.path("seed").asLong() + ", " + b.path("scenario").asText() + " "
                    + b.path("seed").asLong());
        }
        a.path("totals")
                .fields()
                .forEachRemaining(f -> lines.add(String.format(
                        Locale.ROOT,
                        "%-66s %14s %14s",
                        f.getKey(),
                        f.getValue().asText(),
                        b.path("totals").path(f.getKey()).asText("-"))));
        for (JsonNode bound : a.path("bounds")) {
            String other = "-";
            for (JsonNode otherBound : b.path("bounds")) {
                other = otherBound.path("name").equals(bound.path("name"))
                        ? otherBound.path("seen").asText()
                                + (otherBound.path("holds").asBoolean() ? "" : " !")
                        : other;
            }
            lines.add(String.format(
                    Locale.ROOT,
                    "%-66s %14s %14s",
                    bound.path("name").asText(),
                    bound.path("seen").asText() + (bound.path("holds").asBoolean() ? "" : " !"),
                    other));
        }
        return lines;
    }

    static JsonNode read(Path file) throws IOException {
        return JSON.readTree(
                Files.isDirectory(file) ? file.resolve("report.json").toFile() : file.toFile());
    }
}
