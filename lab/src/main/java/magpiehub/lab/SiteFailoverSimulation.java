package magpiehub.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import magpiehub.routing.ZoneEvidence;
import magpiehub.sites.SiteFailoverSettings;
import magpiehub.sites.SiteHealthTracker;
import magpiehub.sites.SiteState;
import magpiehub.sites.SiteTransition;

/**
 * Simulates the site health trackers of many routers in virtual time under random site losses: some engines fail on
 * their own; a site fails at once, stops responding, is cut off together with its routers, or slows down; the endpoint
 * list reports this late; the site returns and is often lost again. Compares the trackers with the simulated truth.
 * Results depend only on the seed, not on the number of threads.
 */
final class SiteFailoverSimulation {
    /** The fault that affects the site. */
    enum Fault {
        KILLED,
        SILENT,
        CUT,
        SLOW,
        ALL_SLOW,
        NONE
    }

    private static final SiteFailoverSettings SETTINGS = SiteFailoverSettings.DEFAULTS;
    private static final int ROUTERS = 100;
    private static final int ENGINES = 100;
    private static final long TICK_MICROS = 50_000;
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;

    /** The sums over scenarios and routers. */
    static final class Result {
        long digest = 1;
        int falseLosses;
        int undetected;
        int detected;
        int maxChanges;
        final List<Long> detectionTimes = new ArrayList<>();

        void add(Result r) {
            digest = digest * 31 + r.digest;
            falseLosses += r.falseLosses;
            undetected += r.undetected;
            detected += r.detected;
            maxChanges = Math.max(maxChanges, r.maxChanges);
            detectionTimes.addAll(r.detectionTimes);
        }

        long detectionTimeAt(double quantile) {
            long[] all =
                    detectionTimes.stream().mapToLong(Long::longValue).sorted().toArray();
            return all.length == 0 ? 0 : all[(int) Math.min(all.length - 1, quantile * all.length)];
        }
    }

    private record PendingEvidence(long at, long sent, int site, String engine, ZoneEvidence evidence, double ratio) {}

    /** One scenario, shared by all routers and derived from the seed alone. */
    private static final class Scenario {
        final int sites;
        final Fault fault;
        final int site;
        final long from;
        final long until;
        final long secondLossAt;
        final double faultyEngineShare;
        final long listDelay;
        final long end;

        Scenario(SplittableRandom random) {
            sites = random.nextInt(3, 9);
            fault = Fault.values()[random.nextInt(Fault.values().length)];
            site = random.nextInt(sites);
            from = 4_000_000 + random.nextLong(2_000_000);
            until = from + 3_000_000 + random.nextLong(6_000_000);
            // In half of the scenarios the site is lost again halfway through its ramp-up.
            secondLossAt = random.nextBoolean() ? until + 2 * SETTINGS.rampStepMicros() : Long.MAX_VALUE;
            faultyEngineShare = random.nextDouble(0.12);
            listDelay = random.nextLong(500_000, 8_000_000);
            end = until + 14_000_000;
        }

        boolean isSiteDown(long nowMicros) {
            return (nowMicros >= from && nowMicros < until)
                    || (secondLossAt != Long.MAX_VALUE
                            && nowMicros >= secondLossAt
                            && nowMicros < secondLossAt + 3_000_000);
        }

        /** Whether a router at one site cannot reach another site. */
        boolean isUnreachable(int router, int to, long nowMicros) {
            return isSiteDown(nowMicros)
                    && switch (fault) {
                        case KILLED, SILENT -> to == site;
                        case CUT -> (router == site) != (to == site);
                        default -> false;
                    };
        }
    }

    private SiteFailoverSimulation() {}

    private static Result run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Scenario scenario = new Scenario(random);
        Result all = new Result();
        for (int i = 0; i < ROUTERS; i++) {
            all.add(simulateRouter(scenario, i % scenario.sites, random.split()));
        }
        return all;
    }

    @SuppressWarnings("EnumOrdinal") // The digest is compared with a recorded value that is based on ordinals.
    private static Result simulateRouter(Scenario scenario, int ownSite, SplittableRandom random) {
        Result result = new Result();
        SiteHealthTracker tracker = new SiteHealthTracker(SETTINGS, scenario.sites, ownSite, random.nextLong());
        // 1 to 30 requests per second and router.
        double perTick = random.nextDouble(1, 30) * TICK_MICROS / 1e6;
        List<PendingEvidence> pending = new ArrayList<>();
        int[] changes = new int[scenario.sites];
        long detectedAfter = -1;
        long firstSentAt = -1;
        boolean removedFromList = false;
        boolean siteIsLost = scenario.fault == Fault.KILLED || scenario.fault == Fault.SILENT;
        for (long now = 0; now < scenario.end; now += TICK_MICROS) {
            long nowMicros = now;
            for (int site = 0; site < scenario.sites; site++) {
                for (int remaining = tracker.acquireHealthChecks(site); remaining > 0; remaining--) {
                    send(scenario, ownSite, site, nowMicros, random, pending);
                }
                if (tracker.acquireTrial(site, nowMicros)) {
                    send(scenario, ownSite, site, nowMicros, random, pending);
                }
            }
            for (double left = perTick; left > 0 && random.nextDouble() < left; left--) {
                int site = random.nextInt(scenario.sites);
                if (random.nextDouble() < tracker.share(site, nowMicros)
                        && !(removedFromList && site == scenario.site)) {
                    send(scenario, ownSite, site, nowMicros, random, pending);
                }
            }
            for (PendingEvidence pendingEvidence : pending) {
                // A router cannot detect the loss before it has sent a request to the site.
                firstSentAt = firstSentAt < 0
                                && pendingEvidence.site == scenario.site
                                && pendingEvidence.sent >= scenario.from
                                && pendingEvidence.sent < scenario.until
                        ? pendingEvidence.sent
                        : firstSentAt;
            }
            if (now % 1_000_000 == 0) {
                removedFromList = siteIsLost && scenario.isSiteDown(nowMicros - scenario.listDelay);
                tracker.onEndpointList(
                        nowMicros, scenario.site, removedFromList ? 0 : ENGINES / scenario.sites, 100_000);
            }
            for (PendingEvidence pendingEvidence : pending) {
                if (pendingEvidence.at <= nowMicros) {
                    tracker.onEvidence(
                            nowMicros,
                            pendingEvidence.site,
                            pendingEvidence.engine,
                            pendingEvidence.evidence,
                            nowMicros - pendingEvidence.sent,
                            pendingEvidence.ratio);
                }
            }
            pending.removeIf(pendingEvidence -> pendingEvidence.at <= nowMicros);
            tracker.onTick(nowMicros);
            for (SiteTransition transition : tracker.drainTransitions()) {
                // Ordinals, because the hash codes of enum constants differ between processes.
                result.digest = result.digest * 31
                        + java.util.Objects.hash(
                                transition.site(),
                                transition.from().ordinal(),
                                transition.to().ordinal(),
                                transition.cause().ordinal(),
                                transition.atMicros());
                changes[transition.site()]++;
                boolean isTrueLoss = (siteIsLost && transition.site() == scenario.site)
                        || (scenario.fault == Fault.CUT
                                && transition.site() == scenario.site
                                && ownSite != scenario.site);
                result.falseLosses += transition.to() == SiteState.LOST && !isTrueLoss ? 1 : 0;
            }
            boolean shouldDetect = siteIsLost ? true : scenario.fault == Fault.CUT && ownSite != scenario.site;
            if (shouldDetect
                    && detectedAfter < 0
                    && firstSentAt >= 0
                    && nowMicros < scenario.until
                    && tracker.share(scenario.site, nowMicros) == 0) {
                detectedAfter = nowMicros - firstSentAt;
                result.detectionTimes.add(detectedAfter);
            }
            if (shouldDetect && nowMicros >= scenario.until && nowMicros < scenario.until + TICK_MICROS) {
                result.detected += detectedAfter >= 0 ? 1 : 0;
                result.undetected +=
                        detectedAfter >= 0 || firstSentAt < 0 || nowMicros - firstSentAt < 3_000_000 ? 0 : 1;
            }
        }
        for (int changeCount : changes) {
            result.maxChanges = Math.max(result.maxChanges, changeCount);
        }
        return result;
    }

    private static void send(
            Scenario scenario,
            int ownSite,
            int to,
            long nowMicros,
            SplittableRandom random,
            List<PendingEvidence> pending) {
        int engine = random.nextInt(Math.max(1, ENGINES / scenario.sites));
        String id = to + "." + engine;
        if (scenario.isUnreachable(ownSite, to, nowMicros)) {
            boolean silent = scenario.fault == Fault.SILENT;
            pending.add(new PendingEvidence(
                    nowMicros + (silent ? RESPONSE_TIMEOUT_MICROS : CONNECT_TIMEOUT_MICROS),
                    nowMicros,
                    to,
                    id,
                    silent ? ZoneEvidence.SILENCE : ZoneEvidence.NO_CONNECTION,
                    0));
        } else if (engine < scenario.faultyEngineShare * ENGINES / scenario.sites) {
            pending.add(new PendingEvidence(nowMicros + 20_000, nowMicros, to, id, ZoneEvidence.ERROR, 0));
        } else {
            boolean slow = scenario.isSiteDown(nowMicros)
                    && (scenario.fault == Fault.ALL_SLOW || (scenario.fault == Fault.SLOW && to == scenario.site));
            double ratio = slow
                    ? 2.9 * (0.5 + random.nextDouble()) * (scenario.fault == Fault.SLOW ? 10 : 1)
                    : 0.5 + random.nextDouble();
            pending.add(new PendingEvidence(
                    nowMicros + (long) (100_000 * ratio), nowMicros, to, id, ZoneEvidence.ANSWERED, ratio));
        }
    }

    /** Runs scenarios on a thread pool. */
    static Result run(long seed, int scenarios, int threads) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Result>> futures = new ArrayList<>();
            for (int i = 0; i < scenarios; i++) {
                long scenarioSeed = seed * 1_000_003 + i;
                futures.add(pool.submit(() -> run(scenarioSeed)));
            }
            Result sum = new Result();
            for (Future<Result> future : futures) {
                sum.add(future.get());
            }
            return sum;
        } finally {
            pool.shutdown();
        }
    }

    static String formatResult(long seed, int scenarios, Result r) {
        return String.format(
                Locale.ROOT,
                "drive sites seed=%d scenarios=%d routers=%d lost_wrongly=%d "
                        + "seen=%d not_seen=%d shut_after_ms=%d/%d/%d most_changes=%d digest=%016x",
                seed,
                scenarios,
                ROUTERS,
                r.falseLosses,
                r.detected,
                r.undetected,
                r.detectionTimeAt(0.5) / 1000,
                r.detectionTimeAt(0.99) / 1000,
                r.detectionTimeAt(1) / 1000,
                r.maxChanges,
                r.digest);
    }
}
