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
    private static final long BUCKET = 250_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEAD =
            """
            <!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
            <style>body{font:14px sans-serif;max-width:60em;margin:1em auto;padding:0 1em}
            table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ccc}
            .no{color:#b00020;font-weight:bold}svg{max-width:100%%;height:auto}</style><body>
            """;

    private Report() {}

    /** Writes report.json and report.html; returns the JSON. */
    static ObjectNode write(Fleet.RunResult o, List<RunEvaluation.Bound> bounds, Path folder, String jar)
            throws IOException {
        ObjectNode j = json(o, bounds, jar);
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("report.json"),
                JSON.writerWithDefaultPrettyPrinter().writeValueAsString(j) + "\n");
        Files.writeString(folder.resolve("report.html"), html(List.of(j)));
        return j;
    }

    private static double seconds(Fleet.RunResult o, long at) {
        return Math.round((at - o.from()) / 1000.0) / 1000.0;
    }

    private static ObjectNode json(Fleet.RunResult o, List<RunEvaluation.Bound> bounds, String jar) {
        ObjectNode j = JSON.createObjectNode();
        j.put("scenario", o.scenario().name);
        j.put("seed", o.scenario().seed);
        j.put("jar", jar);
        ArrayNode sites = j.putArray("sites");
        o.scenario().sites.forEach(s -> sites.add(s.name()));
        ArrayNode b = j.putArray("bounds");
        bounds.forEach(x -> b.addObject()
                .put("name", x.name())
                .put("seen", x.seen())
                .put("allowed", x.allowed())
                .put("holds", x.holds()));
        ObjectNode totals = j.putObject("totals");
        RunEvaluation evaluation = new RunEvaluation(o);
        Histogram all = evaluation.firstTokenTimes(Long.MIN_VALUE, Long.MAX_VALUE);
        totals.put("requests", o.results().size());
        totals.put("servedWorth", round(evaluation.servedShare(Long.MIN_VALUE, Long.MAX_VALUE, -1)));
        totals.put("attempts", o.attempts().size());
        totals.put("firstTokenP50Ms", all.getValueAtPercentile(50) / 1000.0);
        totals.put("firstTokenP99Ms", all.getValueAtPercentile(99) / 1000.0);
        totals.put("rigLateP99Ms", o.sendDelayP99Micros() / 1000.0);
        totals.put("routerMemoryMb", evaluation.maxRouterMemoryKb() / 1024);
        Map<String, int[]> ends = new TreeMap<>();
        for (LoadGenerator.RequestRecord r : o.results()) {
            String site = o.scenario().sites.get(r.site()).name();
            String kind = o.scenario().requests.classes().get(r.classIndex()).name();
            String how = r.outcome().name().toLowerCase(Locale.ROOT) + (r.excused() ? " (fault)" : "");
            ends.computeIfAbsent(site + "|" + kind + "|" + how, k -> new int[1])[0]++;
        }
        ArrayNode e = j.putArray("ends");
        ends.forEach((k, n) -> {
            String[] w = k.split("\\|");
            e.addObject().put("site", w[0]).put("class", w[1]).put("how", w[2]).put("requests", n[0]);
        });
        ObjectNode counters = j.putObject("counters");
        o.counters().forEach((router, lines) -> {
            ObjectNode c = counters.putObject(router);
            lines.lines().map(l -> l.split(" ", 2)).filter(w -> w.length == 2).forEach(w -> c.put(w[0], w[1]));
        });
        ArrayNode said = j.putArray("stands");
        o.siteStateChanges().forEach(x -> said.addObject()
                .put("s", seconds(o, x.at()))
                .put("router", x.router())
                .put("site", x.site())
                .put("from", x.from())
                .put("to", x.to())
                .put("cause", x.cause()));
        ArrayNode faults = j.putArray("faults");
        o.faults().forEach(f -> faults.addObject().put("s", seconds(o, f.at())).put("what", f.description()));
        ArrayNode wrong = j.putArray("violations");
        evaluation.concurrentAttempts().forEach(x -> wrong.add("two attempts: " + x));
        o.attemptsToDrained().forEach(x -> wrong.add("drained: " + x));
        o.crashedEngines().forEach(x -> wrong.add("fell: " + x));
        o.failures().forEach(x -> wrong.add("fault: " + x));
        o.results().stream()
                .filter(LoadGenerator.RequestRecord::isUnanswered)
                .limit(50)
                .forEach(r -> wrong.add(r.outcome() + ": " + r.requestId() + " router " + r.router() + " due at "
                        + seconds(o, r.dueMicros()) + " s, ended at " + seconds(o, r.endMicros()) + " s"));
        j.set("series", series(o));
        return j;
    }

    private static double round(double v) {
        return Math.round(v * 1000) / 1000.0;
    }

    private static void point(ObjectNode series, String chart, String name, double x, double y) {
        ObjectNode c = series.has(chart) ? (ObjectNode) series.get(chart) : series.putObject(chart);
        ArrayNode a = c.has(name) ? (ArrayNode) c.get(name) : c.putArray(name);
        a.addArray().add(Math.round(x * 1000) / 1000.0).add(round(y));
    }

    /** Adds the number of conversations per second whose turn went to another site than the previous turn. */
    private static void moves(Fleet.RunResult o, ObjectNode s) {
        Map<String, String> at = new HashMap<>();
        o.attempts()
                .forEach(a ->
                        at.put(a.requestId(), a.engine().substring(0, a.engine().lastIndexOf("-e"))));
        Map<String, String> last = new HashMap<>();
        int[] moved = new int[(int) (o.scenario().lengthMs / 1000) + 1];
        o.results().stream()
                .sorted(Comparator.comparingLong(LoadGenerator.RequestRecord::dueMicros))
                .forEach(r -> {
                    String site = at.get(r.requestId());
                    String before = site == null ? null : last.put(r.sessionHash(), site);
                    moved[(int) ((r.dueMicros() - o.from()) / 1_000_000)] +=
                            before == null || before.equals(site) ? 0 : 1;
                });
        for (int i = 0; i < moved.length; i++) {
            point(s, "Conversations that changed their site, a second", "all", i, moved[i]);
        }
    }

    private static ObjectNode series(Fleet.RunResult o) {
        ObjectNode s = JSON.createObjectNode();
        moves(o, s);
        int n = o.scenario().sites.size();
        long buckets = o.scenario().lengthMs * 1000 / BUCKET;
        for (long i = 0; i < buckets; i++) {
            long from = o.from() + i * BUCKET;
            double x = i * BUCKET / 1e6;
            Histogram h = new Histogram(60_000_000L, 3);
            double[] due = new double[n];
            double[] served = new double[n];
            Map<LoadGenerator.RequestOutcome, Double> by = new TreeMap<>();
            long late = 0;
            for (LoadGenerator.RequestRecord r : o.results()) {
                if (r.dueMicros() < from || r.dueMicros() >= from + BUCKET) {
                    continue;
                }
                due[r.site()] += r.gain();
                late = r.retries() == 0 ? Math.max(late, r.sentMicros() - r.dueMicros()) : late;
                served[r.site()] += r.outcome() == LoadGenerator.RequestOutcome.SERVED ? r.gain() : 0;
                by.merge(r.outcome(), r.gain(), Double::sum);
                if (r.firstTokenMicros() >= 0) {
                    h.recordValue(Math.min(60_000_000L, r.firstTokenMicros()));
                }
            }
            for (int k = 0; k < n; k++) {
                if (due[k] > 0) {
                    point(
                            s,
                            "Served of what was due, by the clients' site",
                            o.scenario().sites.get(k).name(),
                            x,
                            served[k] / due[k]);
                }
            }
            for (LoadGenerator.RequestOutcome e : LoadGenerator.RequestOutcome.values()) {
                if (o.results().stream().anyMatch(r -> r.outcome() == e)) {
                    point(
                            s,
                            "Worth a second by end",
                            e.name().toLowerCase(Locale.ROOT),
                            x,
                            by.getOrDefault(e, 0.0) * 1e6 / BUCKET);
                }
            }
            point(s, "Left late by the rig itself, the most (ms)", "rig", x, late / 1000.0);
            if (h.getTotalCount() > 0) {
                point(s, "First tokens (ms)", "p50", x, h.getValueAtPercentile(50) / 1000.0);
                point(s, "First tokens (ms)", "p99", x, h.getValueAtPercentile(99) / 1000.0);
            }
        }
        for (Fleet.EngineLoad l : o.loads()) {
            String name = o.scenario().sites.get(l.site()).name();
            if (l.at() >= o.from()) {
                point(s, "Requests at the engines, by site", name + " running", seconds(o, l.at()), l.running());
                point(s, "Requests at the engines, by site", name + " waiting", seconds(o, l.at()), l.waiting());
            }
        }
        Map<String, ProcessManager.ResourceSample> before = new LinkedHashMap<>();
        for (ProcessManager.ResourceSample p : o.samples()) {
            double x = seconds(o, p.at());
            point(s, "Resident memory of each process (MB)", p.name(), x, p.rssKb() / 1024.0);
            ProcessManager.ResourceSample b = before.put(p.name(), p);
            if (b != null && p.at() > b.at() && p.cpuMs() >= b.cpuMs()) {
                point(
                        s,
                        "CPU of each process (cores)",
                        p.name(),
                        x,
                        (p.cpuMs() - b.cpuMs()) * 1000.0 / (p.at() - b.at()));
            }
        }
        return s;
    }

    // ---- The page -------------------------------------------------------------------------------------
    /** An HTML page of one run, or of two with their charts overlaid. */
    static String html(List<? extends JsonNode> plays) {
        StringBuilder h = new StringBuilder(
                HEAD.formatted(escape(plays.get(0).path("scenario").asText())));
        for (int i = 0; i < plays.size(); i++) {
            JsonNode p = plays.get(i);
            h.append("<h1>")
                    .append(escape(p.path("scenario").asText()))
                    .append(", seed ")
                    .append(p.path("seed").asLong())
                    .append(plays.size() > 1 ? i == 0 ? " (A)" : " (B)" : "")
                    .append("</h1><p>")
                    .append(escape(p.path("jar").asText()))
                    .append("</p><table><tr><th>Bound<th>Seen<th>Allowed</tr>");
            for (JsonNode b : p.path("bounds")) {
                h.append("<tr")
                        .append(b.path("holds").asBoolean() ? "" : " class=\"no\"")
                        .append("><td>")
                        .append(escape(b.path("name").asText()))
                        .append("<td>")
                        .append(escape(b.path("seen").asText()))
                        .append("<td>")
                        .append(escape(b.path("allowed").asText()))
                        .append("</tr>");
            }
            h.append("</table><h2>Faults</h2><table>");
            for (JsonNode f : p.path("faults")) {
                h.append("<tr><td>")
                        .append(f.path("s").asText())
                        .append(" s<td>")
                        .append(escape(f.path("what").asText()))
                        .append("</tr>");
            }
            h.append("</table><h2>How requests ended</h2>")
                    .append("<table><tr><th>Site<th>Class<th>End<th>Requests</tr>");
            for (JsonNode e : p.path("ends")) {
                h.append("<tr><td>")
                        .append(escape(e.path("site").asText()))
                        .append("<td>")
                        .append(escape(e.path("class").asText()))
                        .append("<td>")
                        .append(escape(e.path("how").asText()))
                        .append("<td>")
                        .append(e.path("requests").asInt())
                        .append("</tr>");
            }
            h.append("</table>");
            for (JsonNode w : p.path("violations")) {
                h.append("<p class=\"no\">").append(escape(w.asText())).append("</p>");
            }
        }
        List<String> charts = new ArrayList<>();
        plays.get(0).path("series").fieldNames().forEachRemaining(charts::add);
        for (String c : charts) {
            h.append(chart(c, plays));
        }
        return h.append("</body></html>\n").toString();
    }

    private static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String chart(String name, List<? extends JsonNode> plays) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (int i = 0; i < plays.size(); i++) {
            JsonNode of = plays.get(i).path("series").path(name);
            String mark = plays.size() > 1 ? i == 0 ? " A" : " B" : "";
            of.fields().forEachRemaining(f -> {
                XYSeries x = new XYSeries(f.getKey() + mark);
                f.getValue().forEach(p -> x.add(p.get(0).asDouble(), p.get(1).asDouble()));
                data.addSeries(x);
            });
        }
        JFreeChart c =
                ChartFactory.createXYLineChart(name, "s", null, data, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = c.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
        lines.setDefaultStroke(new BasicStroke(1.5f));
        lines.setAutoPopulateSeriesStroke(false);
        plot.setRenderer(lines);
        for (JsonNode f : plays.get(0).path("faults")) {
            ValueMarker m = new ValueMarker(f.path("s").asDouble(), Color.RED, new BasicStroke(1f));
            m.setLabel(f.path("what").asText());
            m.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 9));
            m.setLabelAnchor(org.jfree.chart.ui.RectangleAnchor.TOP_LEFT);
            m.setLabelTextAnchor(org.jfree.chart.ui.TextAnchor.TOP_RIGHT);
            plot.addDomainMarker(m);
        }
        SVGGraphics2D g = new SVGGraphics2D(900, 320);
        c.draw(g, new Rectangle2D.Double(0, 0, 900, 320));
        return "<div>" + g.getSVGElement() + "</div>";
    }

    // ---- Two plays ------------------------------------------------------------------------------------
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
        for (JsonNode x : a.path("bounds")) {
            String other = "-";
            for (JsonNode y : b.path("bounds")) {
                other = y.path("name").equals(x.path("name"))
                        ? y.path("seen").asText() + (y.path("holds").asBoolean() ? "" : " !")
                        : other;
            }
            lines.add(String.format(
                    Locale.ROOT,
                    "%-66s %14s %14s",
                    x.path("name").asText(),
                    x.path("seen").asText() + (x.path("holds").asBoolean() ? "" : " !"),
                    other));
        }
        return lines;
    }

    static JsonNode read(Path file) throws IOException {
        return JSON.readTree(
                Files.isDirectory(file) ? file.resolve("report.json").toFile() : file.toFile());
    }
}
