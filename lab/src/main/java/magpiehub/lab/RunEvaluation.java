package magpiehub.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Evaluates a run against its bounds. All figures are based on what the laboratory observed on its own sockets, and a
 * request is excused only by a fault that the laboratory itself injected.
 */
final class RunEvaluation {
    /** Overlap from which two attempts count as concurrent (us): the protocol's tolerance for socket delays. */
    private static final long TOGETHER = 50_000;
    /** Window over which the share of served requests is computed (us). */
    private static final long WINDOW = 500_000;
    /** How long after a site's return a router may still act on a delayed endpoint list (us). */
    private static final long LATE_WORD = 4_000_000;

    static final int CHANGES = 4;
    static final double SERVED = 0.90;
    static final double BACK = 1.5;
    static final long TAKES_REFUSED = 2_000_000;
    static final long TAKES_SILENT = 3_000_000;

    /** One bound: the observed value and the permitted one. */
    record Bound(String name, String seen, String allowed, boolean holds) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%-4s %-62s %12s  (%s)", holds ? "ok" : "FAIL", name, seen, allowed);
        }
    }

    /**
     * A site loss that the scenario causes: the site, the start and end (us), and whether connections are refused at
     * once rather than timing out.
     */
    record SiteLoss(int site, long from, long until, boolean refused) {}

    private final Fleet.RunResult o;

    RunEvaluation(Fleet.RunResult o) {
        this.o = o;
    }

    /**
     * The served share, weighted by value, of the requests due within a period; -1 if there are none. Requests from
     * clients of site {@code notOf} are excluded.
     */
    double served(long from, long until, int notOf) {
        double worth = 0;
        double all = 0;
        for (LoadGenerator.RequestRecord r : o.results()) {
            if (r.dueMicros() >= from && r.dueMicros() < until && r.site() != notOf) {
                all += r.gain();
                worth += r.outcome() == LoadGenerator.RequestOutcome.SERVED ? r.gain() : 0;
            }
        }
        return all == 0 ? -1 : worth / all;
    }

    /** The share of the other sites' demand that the engines of the other sites can serve, at most 1. */
    private double allowed(int lost) {
        double demand = 0;
        double capacity = 0;
        for (int i = 0; i < o.scenario().sites.size(); i++) {
            if (i != lost) {
                demand += o.scenario().demand(i);
                capacity += o.scenario().capacity(i);
            }
        }
        return demand == 0 ? 1 : Math.min(1, capacity / demand);
    }

    /** Time from the loss until 90 % of the permitted share is served over a whole window (us). */
    private long takes(SiteLoss l) {
        for (long t = l.from; t < l.until - WINDOW; t += 50_000) {
            double s = served(t, t + WINDOW, l.site);
            if (s < 0 || s >= SERVED * allowed(l.site)) {
                return t - l.from;
            }
        }
        return l.until - l.from;
    }

    /** Times to the first token of the requests due within a period (us). */
    Histogram firsts(long from, long until) {
        Histogram h = new Histogram(60_000_000L, 3);
        for (LoadGenerator.RequestRecord r : o.results()) {
            if (r.dueMicros() >= from && r.dueMicros() < until && r.firstTokenMicros() >= 0) {
                h.recordValue(Math.min(60_000_000L, r.firstTokenMicros()));
            }
        }
        return h;
    }

    /** Number of requests for which a healthy router returned no response, an invalid one, or two. */
    long unanswered() {
        return o.results().stream()
                        .filter(LoadGenerator.RequestRecord::isUnanswered)
                        .count()
                + o.twice()
                + o.open();
    }

    /** Requests with two concurrent attempts. */
    List<String> together() {
        Map<String, List<Fleet.Attempt>> by = new HashMap<>();
        o.attempts().forEach(a -> by.computeIfAbsent(a.call(), k -> new ArrayList<>())
                .add(a));
        List<String> all = new ArrayList<>();
        by.forEach((call, l) -> {
            l.sort(Comparator.comparingLong(Fleet.Attempt::began));
            for (int i = 1; i < l.size(); i++) {
                if (l.get(i - 1).over() - l.get(i).began() > TOGETHER) {
                    all.add(call + " at " + l.get(i - 1).engine() + " and "
                            + l.get(i).engine());
                    return;
                }
            }
        });
        return all;
    }

    /** Maximum resident memory of any router (KB). */
    long memory() {
        return o.samples().stream()
                .filter(s -> !s.name().startsWith("engines-"))
                .mapToLong(ProcessManager.ResourceSample::rssKb)
                .max()
                .orElse(0);
    }

    /** Number of times that a router declared a site lost without an injected loss of that site. */
    long lostWrongly(List<SiteLoss> losses) {
        return o.stands().stream()
                .filter(s -> s.to().equals("lost"))
                .filter(s -> losses.stream()
                        .noneMatch(l -> o.scenario().sites.get(l.site()).name().equals(s.site())
                                && s.at() >= l.from()
                                && s.at() <= l.until() + LATE_WORD))
                .count();
    }

    /** Maximum number of state changes that one router reported for one site. */
    long changes() {
        Map<String, Long> by = new HashMap<>();
        o.stands().stream()
                .filter(s -> s.at() >= o.from())
                .forEach(s -> by.merge(s.router() + s.site(), 1L, Long::sum));
        return by.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** The bounds that apply to every run. */
    List<Bound> rules() {
        List<Bound> b = new ArrayList<>();
        b.add(none("requests with none or two final answers of a running router", unanswered()));
        b.add(none("requests with two attempts out at once", together().size()));
        b.add(none(
                "new work to an engine 2 s after a router was told it takes none",
                o.toDrained().size()));
        b.add(none("engines that fell over", o.fell().size()));
        b.add(none("processes that ended by themselves", o.crashes()));
        b.add(none("faults that could not be carried out", o.failures().size()));
        long most = o.scenario().routers.memoryMb() * 1024L;
        b.add(new Bound(
                "most memory of a router (MB)",
                Long.toString(memory() / 1024),
                "at most " + most / 1024,
                memory() <= most));
        return b;
    }

    private static Bound none(String name, long seen) {
        return new Bound(name, Long.toString(seen), "0", seen == 0);
    }

    /** The bounds of every run, and those on the effect of the given losses. */
    List<Bound> of(List<SiteLoss> losses) {
        List<Bound> b = rules();
        b.add(none("sites called lost without a loss", lostWrongly(losses)));
        int events = Math.max(1, 2 * losses.size());
        b.add(new Bound(
                "changes of a router's word on a site, for each event",
                String.format(Locale.ROOT, "%.1f", (double) changes() / events),
                "at most " + CHANGES,
                changes() <= (long) CHANGES * events));
        for (SiteLoss l : losses) {
            String name = o.scenario().sites.get(l.site).name();
            double share = served(l.from, l.until, l.site);
            double part = share < 0 ? 1 : share / allowed(l.site);
            b.add(new Bound(
                    "served while " + name + " is lost, of what the others can carry",
                    String.format(Locale.ROOT, "%.3f", part),
                    "at least " + SERVED,
                    part >= SERVED));
            long takes = takes(l);
            long most = l.refused ? TAKES_REFUSED : TAKES_SILENT;
            b.add(new Bound(
                    "from the loss of " + name + " until nine tenths of that (ms)",
                    Long.toString(takes / 1000),
                    "at most " + most / 1000,
                    takes <= most));
            double before = firsts(o.from(), l.from).getValueAtPercentile(99);
            double after = firsts(l.until, l.until + 5_000_000).getValueAtPercentile(99);
            double ratio = before == 0 ? 1 : after / before;
            b.add(new Bound(
                    "p99 of first tokens in the 5 s from its return, against before",
                    String.format(Locale.ROOT, "%.2f", ratio),
                    "at most " + BACK,
                    ratio <= BACK));
        }
        return b;
    }
}
