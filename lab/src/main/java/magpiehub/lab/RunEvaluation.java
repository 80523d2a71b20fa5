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
    private static final long MAX_ATTEMPT_OVERLAP_MICROS = 50_000;
    /** Window over which the share of served requests is computed (us). */
    private static final long SERVED_WINDOW_MICROS = 500_000;
    /** How long after a site's return a router may still act on a delayed endpoint list (us). */
    private static final long LATE_LIST_TOLERANCE_MICROS = 4_000_000;

    static final int MAX_STATE_CHANGES = 4;
    static final double MIN_SERVED_SHARE = 0.90;
    static final double MAX_RETURN_LATENCY_RATIO = 1.5;
    static final long MAX_RECOVERY_REFUSED_MICROS = 2_000_000;
    static final long MAX_RECOVERY_SILENT_MICROS = 3_000_000;

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

    private final Fleet.RunResult run;

    RunEvaluation(Fleet.RunResult run) {
        this.run = run;
    }

    /**
     * The served share, weighted by value, of the requests due within a period; -1 if there are none. Requests from
     * clients of site {@code excludedSite} are excluded.
     */
    double servedShare(long from, long until, int excludedSite) {
        double servedValue = 0;
        double dueValue = 0;
        for (LoadGenerator.RequestRecord r : run.results()) {
            if (r.dueMicros() >= from && r.dueMicros() < until && r.site() != excludedSite) {
                dueValue += r.gain();
                servedValue += r.outcome() == LoadGenerator.RequestOutcome.SERVED ? r.gain() : 0;
            }
        }
        return dueValue == 0 ? -1 : servedValue / dueValue;
    }

    /** The share of the other sites' demand that the engines of the other sites can serve, at most 1. */
    private double feasibleShare(int lost) {
        double demand = 0;
        double capacity = 0;
        for (int i = 0; i < run.scenario().sites.size(); i++) {
            if (i != lost) {
                demand += run.scenario().demand(i);
                capacity += run.scenario().capacity(i);
            }
        }
        return demand == 0 ? 1 : Math.min(1, capacity / demand);
    }

    /** Time from the loss until 90 % of the feasible share is served over a whole window (us). */
    private long recoveryMicros(SiteLoss loss) {
        for (long t = loss.from; t < loss.until - SERVED_WINDOW_MICROS; t += 50_000) {
            double share = servedShare(t, t + SERVED_WINDOW_MICROS, loss.site);
            if (share < 0 || share >= MIN_SERVED_SHARE * feasibleShare(loss.site)) {
                return t - loss.from;
            }
        }
        return loss.until - loss.from;
    }

    /** Times to the first token of the requests due within a period (us). */
    Histogram firstTokenTimes(long from, long until) {
        Histogram histogram = new Histogram(60_000_000L, 3);
        for (LoadGenerator.RequestRecord r : run.results()) {
            if (r.dueMicros() >= from && r.dueMicros() < until && r.firstTokenMicros() >= 0) {
                histogram.recordValue(Math.min(60_000_000L, r.firstTokenMicros()));
            }
        }
        return histogram;
    }

    /** Number of requests for which a healthy router returned no response, an invalid one, or two. */
    long unanswered() {
        return run.results().stream()
                        .filter(LoadGenerator.RequestRecord::isUnanswered)
                        .count()
                + run.duplicateResponses()
                + run.pendingRequests();
    }

    /** Requests with two concurrent attempts. */
    List<String> concurrentAttempts() {
        Map<String, List<Fleet.Attempt>> attemptsByRequest = new HashMap<>();
        run.attempts().forEach(attempt -> attemptsByRequest
                .computeIfAbsent(attempt.requestId(), k -> new ArrayList<>())
                .add(attempt));
        List<String> concurrent = new ArrayList<>();
        attemptsByRequest.forEach((requestId, attempts) -> {
            attempts.sort(Comparator.comparingLong(Fleet.Attempt::startedMicros));
            for (int i = 1; i < attempts.size(); i++) {
                if (attempts.get(i - 1).endedMicros() - attempts.get(i).startedMicros() > MAX_ATTEMPT_OVERLAP_MICROS) {
                    concurrent.add(requestId + " at " + attempts.get(i - 1).engine() + " and "
                            + attempts.get(i).engine());
                    return;
                }
            }
        });
        return concurrent;
    }

    /** Maximum resident memory of any router (KB). */
    long maxRouterMemoryKb() {
        return run.samples().stream()
                .filter(s -> !s.name().startsWith("engines-"))
                .mapToLong(ProcessManager.ResourceSample::rssKb)
                .max()
                .orElse(0);
    }

    /** Number of times that a router declared a site lost without an injected loss of that site. */
    long falseLosses(List<SiteLoss> losses) {
        return run.siteStateChanges().stream()
                .filter(change -> change.to().equals("lost"))
                .filter(change -> losses.stream()
                        .noneMatch(loss ->
                                run.scenario().sites.get(loss.site()).name().equals(change.site())
                                        && change.at() >= loss.from()
                                        && change.at() <= loss.until() + LATE_LIST_TOLERANCE_MICROS))
                .count();
    }

    /** Maximum number of state changes that one router reported for one site. */
    long maxStateChanges() {
        Map<String, Long> changesByRouterAndSite = new HashMap<>();
        run.siteStateChanges().stream()
                .filter(change -> change.at() >= run.from())
                .forEach(change -> changesByRouterAndSite.merge(change.router() + change.site(), 1L, Long::sum));
        return changesByRouterAndSite.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /** The bounds that apply to every run. */
    List<Bound> generalBounds() {
        List<Bound> bounds = new ArrayList<>();
        bounds.add(zeroBound("requests with none or two final answers of a running router", unanswered()));
        bounds.add(zeroBound(
                "requests with two attempts out at once", concurrentAttempts().size()));
        bounds.add(zeroBound(
                "new work to an engine 2 s after a router was told it takes none",
                run.attemptsToDrained().size()));
        bounds.add(zeroBound("engines that fell over", run.crashedEngines().size()));
        bounds.add(zeroBound("processes that ended by themselves", run.crashes()));
        bounds.add(
                zeroBound("faults that could not be carried out", run.failures().size()));
        long limit = run.scenario().routers.memoryMb() * 1024L;
        bounds.add(new Bound(
                "most memory of a router (MB)",
                Long.toString(maxRouterMemoryKb() / 1024),
                "at most " + limit / 1024,
                maxRouterMemoryKb() <= limit));
        return bounds;
    }

    private static Bound zeroBound(String name, long seen) {
        return new Bound(name, Long.toString(seen), "0", seen == 0);
    }

    /** The bounds of every run, and those on the effect of the given losses. */
    List<Bound> evaluate(List<SiteLoss> losses) {
        List<Bound> bounds = generalBounds();
        bounds.add(zeroBound("sites called lost without a loss", falseLosses(losses)));
        int events = Math.max(1, 2 * losses.size());
        bounds.add(new Bound(
                "changes of a router's word on a site, for each event",
                String.format(Locale.ROOT, "%.1f", (double) maxStateChanges() / events),
                "at most " + MAX_STATE_CHANGES,
                maxStateChanges() <= (long) MAX_STATE_CHANGES * events));
        for (SiteLoss loss : losses) {
            String name = run.scenario().sites.get(loss.site).name();
            double share = servedShare(loss.from, loss.until, loss.site);
            double servedOfFeasible = share < 0 ? 1 : share / feasibleShare(loss.site);
            bounds.add(new Bound(
                    "served while " + name + " is lost, of what the others can carry",
                    String.format(Locale.ROOT, "%.3f", servedOfFeasible),
                    "at least " + MIN_SERVED_SHARE,
                    servedOfFeasible >= MIN_SERVED_SHARE));
            long recoveryMicros = recoveryMicros(loss);
            long limit = loss.refused ? MAX_RECOVERY_REFUSED_MICROS : MAX_RECOVERY_SILENT_MICROS;
            bounds.add(new Bound(
                    "from the loss of " + name + " until nine tenths of that (ms)",
                    Long.toString(recoveryMicros / 1000),
                    "at most " + limit / 1000,
                    recoveryMicros <= limit));
            double before = firstTokenTimes(run.from(), loss.from).getValueAtPercentile(99);
            double after = firstTokenTimes(loss.until, loss.until + 5_000_000).getValueAtPercentile(99);
            double ratio = before == 0 ? 1 : after / before;
            bounds.add(new Bound(
                    "p99 of first tokens in the 5 s from its return, against before",
                    String.format(Locale.ROOT, "%.2f", ratio),
                    "at most " + MAX_RETURN_LATENCY_RATIO,
                    ratio <= MAX_RETURN_LATENCY_RATIO));
        }
        return bounds;
    }
}
